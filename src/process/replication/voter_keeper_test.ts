import test from "ava";
import { nextVoterChange } from "./voter_keeper.ts";

const VOTERS = { voterIds: ["a", "b", "c"] };

test("all is well: nothing changes", (t) => {
  const contacts = { silentVoterIds: [], readyIds: ["d"] };
  t.is(nextVoterChange(VOTERS, { contacts, wantedVoters: 3 }), undefined);
});

test("a silent voter stays until there is somebody to replace it", (t) => {
  const contacts = { silentVoterIds: ["c"], readyIds: [] };
  t.is(nextVoterChange(VOTERS, { contacts, wantedVoters: 3 }), undefined);
});

test("a member that has caught up is let in for a silent voter", (t) => {
  const contacts = { silentVoterIds: ["c"], readyIds: ["d"] };
  t.deepEqual(nextVoterChange(VOTERS, { contacts, wantedVoters: 3 }), {
    kind: "add",
    id: "d",
  });
});

test("then the silent one leaves", (t) => {
  const status = { voterIds: ["a", "b", "c", "d"] };
  const contacts = { silentVoterIds: ["c"], readyIds: [] };
  t.deepEqual(nextVoterChange(status, { contacts, wantedVoters: 3 }), {
    kind: "remove",
    id: "c",
  });
});

test("a group that is short takes back who has caught up", (t) => {
  const status = { voterIds: ["a", "b"] };
  const contacts = { silentVoterIds: [], readyIds: ["c"] };
  t.deepEqual(nextVoterChange(status, { contacts, wantedVoters: 3 }), {
    kind: "add",
    id: "c",
  });
});
