import test from "ava";
import * as fc from "fast-check";
import type { GroupMember } from "./raft_effect.ts";
import { RaftMutation } from "./raft_mutation.ts";
import {
  diskVoters,
  learners,
  memoryVoters,
  sessionProperty,
} from "./testing/fault_session.ts";

/** Sessions per group. */
const SESSIONS = 100;

const GROUPS: Readonly<Record<string, readonly GroupMember[]>> = {
  "three disks": diskVoters("a", "b", "c"),
  "five disks and two learners": [
    ...diskVoters("a", "b", "c", "d", "e"),
    ...learners("f", "g"),
  ],
  "one disk of three": [...memoryVoters("a", "b"), ...diskVoters("c")],
  "no disk of three": memoryVoters("a", "b", "c"),
  "two disks": diskVoters("a", "b"),
  "four disks": diskVoters("a", "b", "c", "d"),
};

for (const [name, members] of Object.entries(GROUPS)) {
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
    const members = GROUPS["one disk of three"]!;
    const property = sessionProperty({ members, mutations: [mutation] });
    const run = fc.check(property, {
      seed: 41,
      numRuns: 300,
      endOnFailure: true,
    });
    t.true(run.failed);
  });
}
