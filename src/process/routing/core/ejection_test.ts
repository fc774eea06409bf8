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

/** How a simulated server answers. */
interface ServerBehaviour {
  readonly result: AttemptResult;
  readonly durationMs: number;
}

const GOOD: ServerBehaviour = { result: "answered", durationMs: 20 };
const FAILING: ServerBehaviour = { result: "serverError", durationMs: 5 };
const SLOW: ServerBehaviour = { result: "answered", durationMs: 400 };

/** A routing core and simulated servers under steady load. */
class EjectionSimulation {
  readonly #core = new RoutingCore({
    dataCentre: "dc",
    random: new SeededRandom({ seed: 2 }),
  });
  readonly behaviours = new Map<string, ServerBehaviour>();
  readonly ejected: string[] = [];
  readonly readmitted: string[] = [];
  readonly sentTo = new Map<string, number>();
  readonly #attempts: { atMs: number; attemptId: number; serverId: string }[] =
    [];
  readonly #isIdempotent: boolean;
  readonly #serverIds: readonly string[];
  #nowMs = 0;
  #calls = 0;

  constructor(
    options: { isIdempotent: boolean; serverIds?: readonly string[] },
  ) {
    this.#serverIds = options.serverIds ?? SERVERS;
    this.#isIdempotent = options.isIdempotent;
    this.#handle({
      kind: "configurationChanged",
      atMs: 0,
      services: { svc: SERVICE },
    });
  }

  /** Sends a call every 5 ms for the given time. */
  run(durationMs: number): void {
    for (const endMs = this.#nowMs + durationMs; this.#nowMs < endMs;) {
      this.#nowMs += 5;
      if (this.#nowMs % 500 === 5) {
        this.#serverIds.forEach((serverId) => this.#announce(serverId));
      }
      this.#endDueAttempts();
      this.#handle({ kind: "tick", atMs: this.#nowMs });
      this.#call();
    }
  }

  #announce(serverId: string): void {
    this.#handle({
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
    this.#handle({
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

  #endDueAttempts(): void {
    const due = this.#attempts.filter(({ atMs }) => atMs <= this.#nowMs);
    for (const { attemptId, serverId } of due) {
      const { result } = this.behaviours.get(serverId) ?? GOOD;
      this.#attempts.splice(
        this.#attempts.findIndex((other) => other.attemptId === attemptId),
        1,
      );
      const atMs = this.#nowMs;
      this.#handle({ kind: "attemptEnded", atMs, attemptId, result });
    }
  }

  #handle(event: RoutingEvent): void {
    this.#core.handle(event).forEach((decision) => this.#carryOut(decision));
  }

  #carryOut(decision: RoutingDecision): void {
    switch (decision.kind) {
      case "sendAttempt": {
        const { attemptId, serverId } = decision;
        const { durationMs } = this.behaviours.get(serverId) ?? GOOD;
        const atMs = this.#nowMs + durationMs;
        this.#attempts.push({ attemptId, serverId, atMs });
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

  test(`a failing server is ejected and readmitted: ${kind}`, (t) => {
    const simulation = new EjectionSimulation({ isIdempotent });
    simulation.behaviours.set("s1", FAILING);
    simulation.run(5_000);
    t.is(simulation.ejected[0], "s1 failing");
    simulation.behaviours.set("s1", GOOD);
    simulation.run(30_000);
    t.deepEqual(simulation.readmitted, ["s1"]);
  });
}

test("a slow server is ejected and probed, and stays ejected while slow", (t) => {
  const simulation = new EjectionSimulation({ isIdempotent: true });
  simulation.run(1_000);
  simulation.behaviours.set("s2", SLOW);
  simulation.run(5_000);
  t.true(simulation.ejected.includes("s2 slow"));
  const before = simulation.sentTo.get("s2") ?? 0;
  simulation.run(20_000);
  t.deepEqual(simulation.readmitted, []);
  const probes = (simulation.sentTo.get("s2") ?? 0) - before;
  t.true(probes >= 1 && probes <= 10, `${probes}`);
});

test("servers over the ejection limit are not ejected", (t) => {
  const simulation = new EjectionSimulation({ isIdempotent: true });
  SERVERS.forEach((serverId) => simulation.behaviours.set(serverId, FAILING));
  simulation.run(5_000);
  const ejectedIds = new Set(
    simulation.ejected.map((text) => text.split(" ")[0]),
  );
  t.is(
    ejectedIds.size,
    Math.floor(SERVERS.length * SERVICE.ejectionFractionLimit),
  );
});

test("a fast-failing server is avoided even if it can't be ejected", (t) => {
  const serverIds = ["s1", "s2"];
  const simulation = new EjectionSimulation({ isIdempotent: false, serverIds });
  simulation.run(1_000);
  simulation.behaviours.set("s1", FAILING);
  const before = simulation.sentTo.get("s1") ?? 0;
  simulation.run(10_000);
  t.deepEqual(simulation.ejected, []);
  const sent = (simulation.sentTo.get("s1") ?? 0) - before;
  t.true(sent <= 60, `${sent} of 2000`);
  simulation.behaviours.set("s1", GOOD);
  simulation.run(5_000);
  const after = (simulation.sentTo.get("s1") ?? 0) - before - sent;
  t.true(after >= 250, `${after} of 1000`);
});
