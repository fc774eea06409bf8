import test from "ava";
import * as fc from "fast-check";
import { RaftMutation } from "./raft_mutation.ts";
import {
  FUZZ_GROUPS,
  performAction,
  recover,
  sessionProperty,
} from "./testing/fault_session.ts";
import { RaftSimulation } from "./testing/raft_simulation.ts";

/** Sessions per group. */
const SESSIONS = 100;

for (const [name, members] of Object.entries(FUZZ_GROUPS)) {
  test(`all invariants hold in sessions with faults: ${name}`, (t) => {
    t.notThrows(() =>
      fc.assert(sessionProperty({ members }), {
        seed: 41,
        numRuns: SESSIONS,
        includeErrorInReport: true,
      })
    );
  });
}

test("a short hang within a longer one leaves a disk's writes in order", (t) => {
  const simulation = new RaftSimulation({
    members: FUZZ_GROUPS["two disks"]!,
    seed: 0,
  });
  simulation.startAll();
  simulation.run(1_500);
  performAction(simulation, { kind: "hangDisk", member: 0, ms: 1_079 });
  performAction(simulation, { kind: "proposeTo", member: 0 });
  performAction(simulation, { kind: "hangDisk", member: 0, ms: 1 });
  t.notThrows(() => recover(simulation));
});

/** Faults that random sessions detect, each with the kind of group. */
const FOUND_BY_SESSIONS: readonly [RaftMutation, string][] = [
  [RaftMutation.lostMemberKeepsIncarnation, "one disk of three"],
  [RaftMutation.leaseTooLong, "one disk of three"],
  [RaftMutation.votesForOlderLog, "three disks"],
  [RaftMutation.formsWithoutAll, "one disk of three"],
];

for (const [mutation, group] of FOUND_BY_SESSIONS) {
  test(`sessions detect the fault: ${mutation}`, (t) => {
    const members = FUZZ_GROUPS[group]!;
    const property = sessionProperty({ members, mutations: [mutation] });
    const run = fc.check(property, {
      seed: 41,
      numRuns: 300,
      endOnFailure: true,
    });
    t.true(run.failed);
  });
}
