import test from "ava";
import * as fc from "fast-check";
import { RaftMutation } from "./raft_mutation.ts";
import { FUZZ_GROUPS, sessionProperty } from "./testing/fault_session.ts";

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

/** Faults that random sessions detect. */
const FOUND_BY_SESSIONS: readonly RaftMutation[] = [
  RaftMutation.lostMemberKeepsIncarnation,
  RaftMutation.leaseTooLong,
  RaftMutation.votesForOlderLog,
  RaftMutation.formsWithoutAll,
  RaftMutation.forgetsVoteAtDiskFault,
];

for (const mutation of FOUND_BY_SESSIONS) {
  test(`sessions detect the fault: ${mutation}`, (t) => {
    const members = FUZZ_GROUPS["one disk of three"]!;
    const property = sessionProperty({ members, mutations: [mutation] });
    const run = fc.check(property, {
      seed: 41,
      numRuns: 300,
      endOnFailure: true,
    });
    t.true(run.failed);
  });
}
