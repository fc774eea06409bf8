import test from "ava";
import fc from "fast-check";
import { type Mutation, RoutingSimulation } from "./routing_core_fixture.ts";
import type { AttemptResult } from "./routing_event.ts";

type Step = (simulation: RoutingSimulation) => void;

const SERVER_IDS = ["s1", "s2", "s3", "s4", "s5", "s6", "s7"];
const serverIds = fc.constantFrom(...SERVER_IDS);
const indexes = fc.nat({ max: 20 });
const results = fc.constantFrom<AttemptResult>(
  "answered",
  "answered",
  "answered",
  "serverError",
  "ambiguous",
  "notSent",
);

const steps: fc.Arbitrary<Step>[] = [
  fc.record({ id: serverIds, leaving: fc.boolean(), old: fc.boolean() })
    .map(({ id, leaving, old }) => (simulation) =>
      simulation.announce(id, { leaving: leaving && id > "s4", old })
    ),
  serverIds.map((id) => (simulation) =>
    simulation.announce(id, { leaving: false, old: false })
  ),
  serverIds.map((id) => (simulation) => simulation.restart(id)),
  ...[0, 1, 2].map(() =>
    fc.record({
      rank: fc.constantFrom(0, 5),
      isIdempotent: fc.boolean(),
      timeoutMs: fc.constantFrom(30, 200, 1_000, 4_000),
    }).map((options) => (simulation: RoutingSimulation) =>
      simulation.arrive(options)
    )
  ),
  ...[0, 1].map(() =>
    fc.tuple(indexes, results).map(
      ([index, result]) => (simulation: RoutingSimulation) =>
        simulation.endAttempt(index, result),
    )
  ),
  fc.tuple(indexes, results).map(([index, result]) => (simulation) =>
    simulation.endForward(index, result)
  ),
  indexes.map((index) => (simulation) => simulation.abandon(index)),
  fc.nat({ max: 3 }).map((free) => (simulation) =>
    simulation.reportRemote(free)
  ),
  fc.array(fc.tuple(serverIds, fc.nat({ max: 3 }))).map(
    (slots) => (simulation) => simulation.allot(new Map(slots)),
  ),
  fc.subarray(["s1", "s2"]).map((ids) => (simulation) =>
    simulation.configure(ids)
  ),
  fc.constantFrom(1, 10, 50, 400, 2_000).map((byMs) => (simulation) =>
    simulation.advance(byMs)
  ),
];

/** Runs random sessions; returns the first violation, if any. */
function fuzz(mutation: Mutation, runs: number): string | undefined {
  const session = fc.array(fc.oneof(...steps), {
    minLength: 20,
    maxLength: 120,
    size: "max",
  });
  const checked = fc.check(
    fc.property(session, (chosen) => {
      const simulation = new RoutingSimulation(mutation);
      ["s1", "s2", "s3", "s4"].forEach((id) =>
        simulation.announce(id, { leaving: false, old: false })
      );
      chosen.forEach((step) => step(simulation));
      simulation.finish();
    }),
    { numRuns: runs, seed: 20_240, endOnFailure: true },
  );
  return checked.failed
    ? String((checked.errorInstance as Error | null)?.message ?? "timed out")
    : undefined;
}

test("random sessions violate no guarantee", (t) => {
  t.is(fuzz({}, 4_000), undefined);
});

const MUTATIONS: readonly (readonly [string, Mutation, RegExp])[] = [
  [
    "treats an ambiguous failure as an unsent request",
    {
      event: (event) =>
        event.kind === "attemptEnded" && event.result === "ambiguous"
          ? { ...event, result: "notSent" }
          : event,
    },
    /second server|not run/,
  ],
  [
    "ignores that a server is leaving",
    {
      event: (event) =>
        event.kind === "serverAnnounced"
          ? {
            ...event,
            announcement: { ...event.announcement, leaving: false },
          }
          : event,
    },
    /leaving/,
  ],
  [
    "treats a silent server as alive",
    {
      event: (event) =>
        event.kind === "serverAnnounced"
          ? { ...event, atMs: event.atMs + 60_000 }
          : event,
    },
    /silent/,
  ],
  [
    "uses slots of other instances",
    {
      event: (event) =>
        event.kind === "slotsAllotted"
          ? { ...event, slots: new Map(SERVER_IDS.map((id) => [id, 2])) }
          : event,
    },
    /slots/,
  ],
  [
    "ignores the byte budget of the region link",
    {
      event: (event) =>
        event.kind === "remoteLoadReported"
          ? { ...event, load: { ...event.load, isOtherRegion: false } }
          : event,
    },
    /region link/,
  ],
  [
    "ignores the round trip to the other region",
    {
      event: (event) =>
        event.kind === "remoteLoadReported"
          ? { ...event, load: { ...event.load, roundTripMs: 0 } }
          : event,
    },
    /in vain/,
  ],
  [
    "gives an answer to the wrong call",
    {
      decision: (decision) =>
        decision.kind === "endWithAnswer" && decision.attemptId !== undefined
          ? { ...decision, attemptId: decision.attemptId - 1 }
          : decision,
    },
    /another call/,
  ],
  [
    "reports an unknown outcome as not run",
    {
      decision: (decision) =>
        decision.kind === "endWithError" && decision.error === "outcomeUnknown"
          ? { ...decision, error: "unavailable" }
          : decision,
    },
    /not run/,
  ],
  [
    "keeps a call open past its deadline",
    {
      event: (event) =>
        event.kind === "callArrived"
          ? {
            ...event,
            call: { ...event.call, deadlineMs: event.call.deadlineMs + 5_000 },
          }
          : event,
    },
    /never ended/,
  ],
];

for (const [name, mutation, expected] of MUTATIONS) {
  test(`the oracle notices a core that ${name}`, (t) => {
    t.regex(fuzz(mutation, 1_500) ?? "nothing", expected);
  });
}
