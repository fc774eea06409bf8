import test from "ava";
import { FakeClock, SeededRandom } from "../../base/mod.ts";
import { serviceSchema } from "../../version/document/document.ts";
import { FakePeerHub } from "../replication/fake_peer_network.ts";
import { RoutingCore, type RoutingEvent } from "./core/mod.ts";
import { SlotSharing } from "./slot_sharing.ts";

const SERVICE = serviceSchema.parse({
  owner: "operations",
  slotsPerServer: 8,
  classes: [{ name: "quote", rank: 0, queueLimit: 1_000 }],
});

const SERVERS = ["s1", "s2", "s3"];
const SLOTS = SERVERS.length * 8;

/** Instances of one data centre that share slots over fake links. */
class World {
  readonly clock = new FakeClock({ startMs: 1_000_000 });
  readonly hub = new FakePeerHub({
    clock: this.clock,
    random: new SeededRandom({ seed: 3 }),
    delayMs: () => 1,
  });
  readonly cores = new Map<string, RoutingCore>();
  readonly sharings = new Map<string, SlotSharing>();
  readonly present: string[] = [];
  #calls = 0;

  constructor(ids: readonly string[]) {
    ids.forEach((id) => this.add(id, ids));
  }

  add(id: string, peerIds: readonly string[]): void {
    this.present.push(id);
    const core = new RoutingCore({
      dataCentre: "dc",
      random: new SeededRandom({ seed: 1 }),
    });
    this.cores.set(id, core);
    this.#feed(core, {
      kind: "configurationChanged",
      atMs: this.clock.nowMs(),
      services: { svc: SERVICE },
    });
    this.announce();
    const instances = (): string[] =>
      this.present.filter((other) => !this.hub.isCut(id, other));
    const sharing = new SlotSharing({
      selfId: id,
      usableInstances: instances,
      presentInstances: instances,
      network: this.hub.join(id, { peerIds }),
      clock: this.clock,
      router: { core, handle: (event) => this.#feed(core, event) },
    });
    this.sharings.set(id, sharing);
  }

  remove(id: string): void {
    this.sharings.get(id)?.close();
    this.present.splice(this.present.indexOf(id), 1);
    this.cores.delete(id);
  }

  /** Calls that stay, and so make demand. */
  load(id: string, calls: number): void {
    const core = this.cores.get(id);
    for (let call = 0; call < calls && core !== undefined; call += 1) {
      this.#feed(core, {
        kind: "callArrived",
        atMs: this.clock.nowMs(),
        call: {
          key: `c${++this.#calls}`,
          service: "svc",
          requestClass: "quote",
          isIdempotent: true,
          deadlineMs: this.clock.nowMs() + 600_000,
          bodyBytes: 1,
          isForwarded: false,
        },
      });
    }
  }

  run(forMs: number): void {
    for (let leftMs = forMs; leftMs > 0; leftMs -= 500) {
      this.announce();
      this.clock.advance(Math.min(500, leftMs));
    }
  }

  announce(): void {
    for (const serverId of SERVERS) {
      for (const core of this.cores.values()) {
        this.#feed(core, {
          kind: "serverAnnounced",
          atMs: this.clock.nowMs(),
          announcement: {
            serverId,
            service: "svc",
            address: "127.0.0.1:1",
            slots: 8,
            dataCentre: "dc",
            incarnation: 1,
            leaving: false,
          },
        });
      }
    }
  }

  /** Slots that the instance may use. */
  slotsOf(id: string): number {
    const servers = this.cores.get(id)?.services.get("svc")?.servers;
    return servers?.openSlots(this.clock.nowMs()) ?? 0;
  }

  inFlight(): number {
    return [...this.cores.values()].reduce((sum, core) => {
      const inUse = core.services.get("svc")?.servers.inUse().values() ?? [];
      return [...inUse].reduce((total, slots) => total + slots, sum);
    }, 0);
  }

  total(): number {
    return [...this.cores.keys()].reduce(
      (sum, id) => sum + this.slotsOf(id),
      0,
    );
  }

  #feed(core: RoutingCore, event: RoutingEvent): void {
    core.handle(event);
  }
}

test("an instance alone has all slots", (t) => {
  const world = new World(["i1"]);
  world.run(1_000);
  t.is(world.slotsOf("i1"), SLOTS);
});

test("instances share all slots and go by demand", (t) => {
  const world = new World(["i1", "i2", "i3"]);
  world.run(3_000);
  t.is(world.total(), SLOTS);
  world.load("i2", 40);
  world.run(3_000);
  t.is(world.total(), SLOTS);
  t.true(world.slotsOf("i2") > SLOTS / 2);
  t.true(world.slotsOf("i1") > 0);
  t.true(world.inFlight() <= SLOTS);
});

test("another instance allocates when the allocator is gone", (t) => {
  const world = new World(["i1", "i2", "i3"]);
  world.run(3_000);
  world.remove("i1");
  world.run(5_000);
  t.is(world.total(), SLOTS);
  world.load("i3", 40);
  world.run(3_000);
  t.true(world.slotsOf("i3") > SLOTS / 2);
});

test("an instance that comes back gets its part again", (t) => {
  const world = new World(["i1", "i2"]);
  world.run(3_000);
  world.remove("i1");
  world.run(3_000);
  t.is(world.slotsOf("i2"), SLOTS);
  world.add("i1", ["i1", "i2"]);
  world.run(5_000);
  t.is(world.total(), SLOTS);
  t.true(world.slotsOf("i1") > 0);
});

test("lost messages delay the sharing, and no slot is promised twice", (t) => {
  const world = new World(["i1", "i2", "i3"]);
  world.run(3_000);
  world.hub.faults.lossRate = 0.5;
  world.load("i3", 30);
  world.run(10_000);
  t.true(world.total() <= SLOTS);
  world.hub.faults.lossRate = 0;
  world.run(3_000);
  t.is(world.total(), SLOTS);
  t.true(world.inFlight() <= SLOTS);
});

test("an instance that is cut off goes on with all that it can", (t) => {
  const world = new World(["i1", "i2"]);
  world.run(3_000);
  world.hub.isolate("i2");
  world.run(3_000);
  t.is(world.slotsOf("i2"), SLOTS);
  world.hub.heal();
  world.run(5_000);
  t.is(world.total(), SLOTS);
});
