import test from "ava";
import * as fc from "fast-check";
import { FAST_TIMING } from "./testing/fast_timing.ts";
import {
  diskVoters,
  memoryVoters,
  sessionProperty,
} from "./testing/fault_session.ts";

const GROUPS = {
  "three of five disks": {
    members: diskVoters("a", "b", "c", "d", "e"),
    founderIds: ["a", "b", "c"],
    wantedVoters: 3,
  },
  "three of four disks": {
    members: diskVoters("a", "b", "c", "d"),
    founderIds: ["a", "b", "c"],
    wantedVoters: 3,
  },
  "five of seven disks": {
    members: diskVoters("a", "b", "c", "d", "e", "f", "g"),
    founderIds: ["a", "b", "c"],
    wantedVoters: 5,
  },
  "three of five, two disks": {
    members: [...diskVoters("a", "b"), ...memoryVoters("c", "d", "e")],
    founderIds: ["a", "b", "c"],
    wantedVoters: 3,
  },
};

/** Sessions per group. */
const SESSIONS = 30;

for (const [name, group] of Object.entries(GROUPS)) {
  test(`all invariants hold while voters are replaced: ${name}`, (t) => {
    t.notThrows(() =>
      fc.assert(sessionProperty({ ...group, timing: FAST_TIMING }), {
        seed: 41,
        numRuns: SESSIONS,
        includeErrorInReport: true,
      })
    );
  });
}
