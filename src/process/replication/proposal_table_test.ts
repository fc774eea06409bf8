import test from "ava";
import { type ProposalEnd, ProposalTable } from "./proposal_table.ts";

/** A command at index 5 of term 2, and how it ended. */
function loggedProposal() {
  const table = new ProposalTable<string>();
  const ends: ProposalEnd<string>[] = [];
  const token = table.add((end) => ends.push(end));
  table.markLogged(token, { index: 5, term: 2 });
  return { table, ends };
}

test("a command ends with what its entry gave", (t) => {
  const { table, ends } = loggedProposal();
  table.markApplied(4, { term: 2, command: { outcome: "another" } });
  t.deepEqual(ends, []);
  table.markApplied(5, { term: 2, command: { outcome: "done" } });
  t.deepEqual(ends, [{ kind: "applied", outcome: "done" }]);
});

test("only another committed entry proves that it won't be run", (t) => {
  const committed = loggedProposal();
  committed.table.markApplied(5, { term: 3, command: { outcome: "other" } });
  t.deepEqual(committed.ends, [{ kind: "discarded" }]);
  // Overwritten here, it may stand in another log.
  const overwritten = loggedProposal();
  const token = overwritten.table.add(() => undefined);
  overwritten.table.markLogged(token, { index: 5, term: 4 });
  t.deepEqual(overwritten.ends, [{ kind: "unknown" }]);
  const skipped = loggedProposal();
  skipped.table.markSkipped(9);
  t.deepEqual(skipped.ends, [{ kind: "unknown" }]);
});

test("at the end nothing is left waiting", (t) => {
  const { table, ends } = loggedProposal();
  const unlogged: ProposalEnd<string>[] = [];
  table.add((end) => unlogged.push(end));
  table.endAll();
  t.deepEqual(ends, [{ kind: "unknown" }]);
  t.deepEqual(unlogged, [{ kind: "notAppended" }]);
});
