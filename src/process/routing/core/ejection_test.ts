import test from "ava";
import { SeededRandom } from "../../../base/random_source.ts";
import { serviceSchema } from "../../../version/document/document.ts";
import { RoutingCore } from "./routing_core.ts";
import type { RoutingDecision } from "./routing_decision.ts";
import type { AttemptResult, RoutingEvent } from "./routing_event.ts";

const SERVICE = serviceSchema.parse({
  owner: "operations",
  classes: [{ name: "quote", rank: 0 }],
});

const SERVERS = ["s1", "s2", "s3", "s4"];

/** How a server of the model answers. */
interface Manner {
  readonly result: AttemptResult;
  readonly durationMs: number;
}

const GOOD: Manner = { result: "answered", durationMs: 20 };
const FAILING: Manner = { result: "serverError", durationMs: 5 };
const SLOW: Manner = { result: "answered", durationMs: 400 };

/** A core whose servers answer as told, under steady load. */
class World {
  readonly #core = new RoutingCore({
    dataCentre: "dc",
    random: new SeededRandom({ seed: 2 }),
  });
  readonly manners = new Map<string, Manner>();
  readonly ejected: string[] = [];
  readonly readmitted: string[] = [];
  readonly sentTo = new Map<string, number>();
  readonly #due: { atMs: number; attemptId: number; serverId: string }[] = [];
  readonly #isIdempotent: boolean;
  readonly #serverIds: readonly string[];
  #nowMs = 0;
  #calls = 0;

  constructor(
    options: { isIdempotent: boolean; serverIds?: readonly string[] },
  ) {
    this.#serverIds = options.serverIds ?? SERVERS;
    this.#isIdempotent = options.isIdempotent;
    this.#feed({
      kind: "configurationChanged",
      atMs: 0,
      services: { svc: SERVICE },
    });
  }

  /** A call every 5 ms. */
  run(forMs: number): void {
    for (const endMs = this.#nowMs + forMs; this.#nowMs < endMs;) {
      this.#nowMs += 5;
      if (this.#nowMs % 500 === 5) {
        this.#serverIds.forEach((serverId) => this.#announce(serverId));
      }
      this.#endDue();
      this.#feed({ kind: "tick", atMs: this.#nowMs });
      this.#call();
    }
  }

  #announce(serverId: string): void {
    this.#feed({
      kind: "serverAnnounced",
      atMs: this.#nowMs,
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

  #call(): void {
    this.#feed({
      kind: "callArrived",
      atMs: this.#nowMs,
      call: {
        key: `c${++this.#calls}`,
        service: "svc",
        requestClass: "quote",
        isIdempotent: this.#isIdempotent,
        deadlineMs: this.#nowMs + 2_000,
        bodyBytes: 1,
        isForwarded: false,
      },
    });
  }

  #endDue(): void {
    const due = this.#due.filter(({ atMs }) => atMs <= this.#nowMs);
    for (const { attemptId, serverId } of due) {
      const { result } = this.manners.get(serverId) ?? GOOD;
      this.#due.splice(
        this.#due.findIndex((other) => other.attemptId === attemptId),
        1,
      );
      const atMs = this.#nowMs;
      this.#feed({ kind: "attemptEnded", atMs, attemptId, result });
    }
  }

  #feed(event: RoutingEvent): void {
    this.#core.handle(event).forEach((decision) => this.#obey(decision));
  }

  #obey(decision: RoutingDecision): void {
    switch (decision.kind) {
      case "sendAttempt": {
        const { attemptId, serverId } = decision;
        const { durationMs } = this.manners.get(serverId) ?? GOOD;
        const atMs = this.#nowMs + durationMs;
        this.#due.push({ attemptId, serverId, atMs });
        this.sentTo.set(serverId, (this.sentTo.get(serverId) ?? 0) + 1);
        break;
      }
      case "ejectServer":
        this.ejected.push(`${decision.serverId} ${decision.reason}`);
        break;
      case "readmitServer":
        this.readmitted.push(decision.serverId);
        break;
      default:
        break;
    }
  }
}

for (const isIdempotent of [true, false]) {
  const kind = isIdempotent ? "idempotent" : "non-idempotent";

  test(`a failing server is ejected and comes back: ${kind}`, (t) => {
    const world = new World({ isIdempotent });
    world.manners.set("s1", FAILING);
    world.run(5_000);
    t.is(world.ejected[0], "s1 failing");
    world.manners.set("s1", GOOD);
    world.run(30_000);
    t.deepEqual(world.readmitted, ["s1"]);
  });
}

test("a slow server is ejected, probed and kept out while slow", (t) => {
  const world = new World({ isIdempotent: true });
  world.run(1_000);
  world.manners.set("s2", SLOW);
  world.run(5_000);
  t.true(world.ejected.includes("s2 slow"));
  const before = world.sentTo.get("s2") ?? 0;
  world.run(20_000);
  t.deepEqual(world.readmitted, []);
  const probes = (world.sentTo.get("s2") ?? 0) - before;
  t.true(probes >= 1 && probes <= 10, `${probes}`);
});

test("servers are kept when too many would be out", (t) => {
  const world = new World({ isIdempotent: true });
  SERVERS.forEach((serverId) => world.manners.set(serverId, FAILING));
  world.run(5_000);
  const out = new Set(world.ejected.map((text) => text.split(" ")[0]));
  t.is(out.size, Math.floor(SERVERS.length * SERVICE.ejectionFractionLimit));
});

test("a server that fails at once is avoided though it can't be ejected", (t) => {
  const serverIds = ["s1", "s2"];
  const world = new World({ isIdempotent: false, serverIds });
  world.run(1_000);
  world.manners.set("s1", FAILING);
  const before = world.sentTo.get("s1") ?? 0;
  world.run(10_000);
  t.deepEqual(world.ejected, []);
  const sent = (world.sentTo.get("s1") ?? 0) - before;
  t.true(sent <= 60, `${sent} of 2000`);
  world.manners.set("s1", GOOD);
  world.run(5_000);
  const after = (world.sentTo.get("s1") ?? 0) - before - sent;
  t.true(after >= 250, `${after} of 1000`);
});
