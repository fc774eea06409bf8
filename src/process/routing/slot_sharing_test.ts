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
class SlotSharingSimulation {
  readonly clock = new FakeClock({ startMs: 1_000_000 });
  readonly hub = new FakePeerHub({
    clock: this.clock,
    random: new SeededRandom({ seed: 3 }),
    delayMs: () => 1,
  });
  readonly cores = new Map<string, RoutingCore>();
  readonly sharings = new Map<string, SlotSharing>();
  readonly instanceIds: string[] = [];
  #calls = 0;

  constructor(ids: readonly string[]) {
    ids.forEach((id) => this.add(id, ids));
  }

  add(id: string, peerIds: readonly string[]): void {
    this.instanceIds.push(id);
    const core = new RoutingCore({
      dataCentre: "dc",
      random: new SeededRandom({ seed: 1 }),
    });
    this.cores.set(id, core);
    this.#handle(core, {
      kind: "configurationChanged",
      atMs: this.clock.nowMs(),
      services: { svc: SERVICE },
    });
    this.announce();
    const instances = (): string[] =>
      this.instanceIds.filter((other) => !this.hub.isCut(id, other));
    const sharing = new SlotSharing({
      selfId: id,
      usableInstances: instances,
      reachableInstances: instances,
      network: this.hub.join(id, { peerIds }),
      clock: this.clock,
      router: { core, handle: (event) => this.#handle(core, event) },
    });
    this.sharings.set(id, sharing);
  }

  remove(id: string): void {
    this.sharings.get(id)?.close();
    this.instanceIds.splice(this.instanceIds.indexOf(id), 1);
    this.cores.delete(id);
  }

  /** Adds calls that never end, to create demand. */
  load(id: string, calls: number): void {
    const core = this.cores.get(id);
    for (let call = 0; call < calls && core !== undefined; call += 1) {
      this.#handle(core, {
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

  run(periodMs: number): void {
    for (let leftMs = periodMs; leftMs > 0; leftMs -= 500) {
      this.announce();
      this.clock.advance(Math.min(500, leftMs));
    }
  }

  announce(): void {
    for (const serverId of SERVERS) {
      for (const core of this.cores.values()) {
        this.#handle(core, {
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
    return servers?.usableSlots(this.clock.nowMs()) ?? 0;
  }

  inFlight(): number {
    return [...this.cores.values()].reduce((sum, core) => {
      const inUse = core.services.get("svc")?.servers.inUse().values() ?? [];
      return [...inUse].reduce((totalSlots, slots) => totalSlots + slots, sum);
    }, 0);
  }

  total(): number {
    return [...this.cores.keys()].reduce(
      (sum, id) => sum + this.slotsOf(id),
      0,
    );
  }

  #handle(core: RoutingCore, event: RoutingEvent): void {
    core.handle(event);
  }
}

test("an instance alone has all slots", (t) => {
  const simulation = new SlotSharingSimulation(["i1"]);
  simulation.run(1_000);
  t.is(simulation.slotsOf("i1"), SLOTS);
});

test("instances share all slots by demand", (t) => {
  const simulation = new SlotSharingSimulation(["i1", "i2", "i3"]);
  simulation.run(3_000);
  t.is(simulation.total(), SLOTS);
  simulation.load("i2", 40);
  simulation.run(3_000);
  t.is(simulation.total(), SLOTS);
  t.true(simulation.slotsOf("i2") > SLOTS / 2);
  t.true(simulation.slotsOf("i1") > 0);
  t.true(simulation.inFlight() <= SLOTS);
});

test("another instance allocates when the allocator can't be reached", (t) => {
  const simulation = new SlotSharingSimulation(["i1", "i2", "i3"]);
  simulation.run(3_000);
  simulation.remove("i1");
  simulation.run(5_000);
  t.is(simulation.total(), SLOTS);
  simulation.load("i3", 40);
  simulation.run(3_000);
  t.true(simulation.slotsOf("i3") > SLOTS / 2);
});

test("an instance that comes back gets its share again", (t) => {
  const simulation = new SlotSharingSimulation(["i1", "i2"]);
  simulation.run(3_000);
  simulation.remove("i1");
  simulation.run(3_000);
  t.is(simulation.slotsOf("i2"), SLOTS);
  simulation.add("i1", ["i1", "i2"]);
  simulation.run(5_000);
  t.is(simulation.total(), SLOTS);
  t.true(simulation.slotsOf("i1") > 0);
});

test("lost messages delay the sharing, and no slot is granted twice", (t) => {
  const simulation = new SlotSharingSimulation(["i1", "i2", "i3"]);
  simulation.run(3_000);
  simulation.hub.faults.lossRate = 0.5;
  simulation.load("i3", 30);
  simulation.run(10_000);
  t.true(simulation.total() <= SLOTS);
  simulation.hub.faults.lossRate = 0;
  simulation.run(3_000);
  t.is(simulation.total(), SLOTS);
  t.true(simulation.inFlight() <= SLOTS);
});

test("an isolated instance uses all slots", (t) => {
  const simulation = new SlotSharingSimulation(["i1", "i2"]);
  simulation.run(3_000);
  simulation.hub.isolate("i2");
  simulation.run(3_000);
  t.is(simulation.slotsOf("i2"), SLOTS);
  simulation.hub.heal();
  simulation.run(5_000);
  t.is(simulation.total(), SLOTS);
});
