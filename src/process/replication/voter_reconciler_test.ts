import test from "ava";
import { nextVoterChange } from "./voter_reconciler.ts";

const VOTERS = { voterIds: ["a", "b", "c"] };

test("nothing changes without a silent or missing voter", (t) => {
  const reachability = { silentVoterIds: [], readyIds: ["d"] };
  t.is(nextVoterChange(VOTERS, { reachability, wantedVoters: 3 }), undefined);
});

test("a silent voter stays until another member can replace it", (t) => {
  const reachability = { silentVoterIds: ["c"], readyIds: [] };
  t.is(nextVoterChange(VOTERS, { reachability, wantedVoters: 3 }), undefined);
});

test("a member that has caught up is added for a silent voter", (t) => {
  const reachability = { silentVoterIds: ["c"], readyIds: ["d"] };
  t.deepEqual(nextVoterChange(VOTERS, { reachability, wantedVoters: 3 }), {
    kind: "add",
    id: "d",
  });
});

test("the silent voter is removed once its replacement votes", (t) => {
  const status = { voterIds: ["a", "b", "c", "d"] };
  const reachability = { silentVoterIds: ["c"], readyIds: [] };
  t.deepEqual(nextVoterChange(status, { reachability, wantedVoters: 3 }), {
    kind: "remove",
    id: "c",
  });
});

test("a group with too few voters adds a member that has caught up", (t) => {
  const status = { voterIds: ["a", "b"] };
  const reachability = { silentVoterIds: [], readyIds: ["c"] };
  t.deepEqual(nextVoterChange(status, { reachability, wantedVoters: 3 }), {
    kind: "add",
    id: "c",
  });
});
