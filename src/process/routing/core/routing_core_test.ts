import test from "ava";
import fc from "fast-check";
import { type Mutation, World } from "./routing_core_fixture.ts";
import type { AttemptResult } from "./routing_event.ts";

type Step = (world: World) => void;

const SERVER_IDS = ["s1", "s2", "s3", "s4", "s5", "s6", "s7"];
const serverIds = fc.constantFrom(...SERVER_IDS);
const places = fc.nat({ max: 20 });
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
    .map(({ id, leaving, old }) => (world) =>
      world.announce(id, { leaving: leaving && id > "s4", old })
    ),
  serverIds.map((id) => (world) =>
    world.announce(id, { leaving: false, old: false })
  ),
  serverIds.map((id) => (world) => world.restart(id)),
  ...[0, 1, 2].map(() =>
    fc.record({
      rank: fc.constantFrom(0, 5),
      isIdempotent: fc.boolean(),
      timeoutMs: fc.constantFrom(30, 200, 1_000, 4_000),
    }).map((options) => (world: World) => world.arrive(options))
  ),
  ...[0, 1].map(() =>
    fc.tuple(places, results).map(([place, result]) => (world: World) =>
      world.endAttempt(place, result)
    )
  ),
  fc.tuple(places, results).map(([place, result]) => (world) =>
    world.endForward(place, result)
  ),
  places.map((place) => (world) => world.abandon(place)),
  fc.nat({ max: 3 }).map((free) => (world) => world.reportRemote(free)),
  fc.array(fc.tuple(serverIds, fc.nat({ max: 3 }))).map((slots) => (world) =>
    world.allot(new Map(slots))
  ),
  fc.subarray(["s1", "s2"]).map((ids) => (world) => world.configure(ids)),
  fc.constantFrom(1, 10, 50, 400, 2_000).map((byMs) => (world) =>
    world.advance(byMs)
  ),
];

/** Runs random sessions; gives what broke, if anything did. */
function fuzz(mutation: Mutation, runs: number): string | undefined {
  const session = fc.array(fc.oneof(...steps), {
    minLength: 20,
    maxLength: 120,
    size: "max",
  });
  const checked = fc.check(
    fc.property(session, (chosen) => {
      const world = new World(mutation);
      ["s1", "s2", "s3", "s4"].forEach((id) =>
        world.announce(id, { leaving: false, old: false })
      );
      chosen.forEach((step) => step(world));
      world.finish();
    }),
    { numRuns: runs, seed: 20_240, endOnFailure: true },
  );
  return checked.failed
    ? String((checked.errorInstance as Error | null)?.message ?? "timed out")
    : undefined;
}

test("random sessions break no promise", (t) => {
  t.is(fuzz({}, 4_000), undefined);
});

const MUTATIONS: readonly (readonly [string, Mutation, RegExp])[] = [
  [
    "takes an ambiguous failure for an unsent request",
    {
      event: (event) =>
        event.kind === "attemptEnded" && event.result === "ambiguous"
          ? { ...event, result: "notSent" }
          : event,
    },
    /second server|not run/,
  ],
  [
    "doesn't hear that a server leaves",
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
    "doesn't notice that a server is silent",
    {
      event: (event) =>
        event.kind === "serverAnnounced"
          ? { ...event, atMs: event.atMs + 60_000 }
          : event,
    },
    /silent/,
  ],
  [
    "takes every slot for its own",
    {
      event: (event) =>
        event.kind === "slotsAllotted"
          ? { ...event, slots: new Map(SERVER_IDS.map((id) => [id, 2])) }
          : event,
    },
    /slots/,
  ],
  [
    "reckons with no bytes over the region link",
    {
      event: (event) =>
        event.kind === "remoteLoadReported"
          ? { ...event, load: { ...event.load, isOtherRegion: false } }
          : event,
    },
    /region link/,
  ],
  [
    "takes the other region for near",
    {
      event: (event) =>
        event.kind === "remoteLoadReported"
          ? { ...event, load: { ...event.load, roundTripMs: 0 } }
          : event,
    },
    /in vain/,
  ],
  [
    "gives an answer to another call",
    {
      decision: (decision) =>
        decision.kind === "endWithAnswer" && decision.attemptId !== undefined
          ? { ...decision, attemptId: decision.attemptId - 1 }
          : decision,
    },
    /another call/,
  ],
  [
    "says that nothing was run when that isn't known",
    {
      decision: (decision) =>
        decision.kind === "endWithError" && decision.error === "outcomeUnknown"
          ? { ...decision, error: "unavailable" }
          : decision,
    },
    /not run/,
  ],
  [
    "lets a call outlive its deadline",
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
