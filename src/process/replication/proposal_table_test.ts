import test from "ava";
import { type ProposalResult, ProposalTable } from "./proposal_table.ts";

/** A command at index 5 of term 2, and its results. */
function appendedProposal() {
  const table = new ProposalTable<string>();
  const results: ProposalResult<string>[] = [];
  const token = table.add((result) => results.push(result));
  table.markAppended(token, { index: 5, term: 2 });
  return { table, results };
}

test("the result of a command is the outcome of its entry", (t) => {
  const { table, results } = appendedProposal();
  table.markApplied(4, { term: 2, command: { outcome: "another" } });
  t.deepEqual(results, []);
  table.markApplied(5, { term: 2, command: { outcome: "done" } });
  t.deepEqual(results, [{ kind: "applied", outcome: "done" }]);
});

test("a command is discarded only by another committed entry", (t) => {
  const committed = appendedProposal();
  committed.table.markApplied(5, { term: 3, command: { outcome: "other" } });
  t.deepEqual(committed.results, [{ kind: "discarded" }]);
  // An entry that was overwritten here may still be in another log.
  const overwritten = appendedProposal();
  const token = overwritten.table.add(() => undefined);
  overwritten.table.markAppended(token, { index: 5, term: 4 });
  t.deepEqual(overwritten.results, [{ kind: "unknown" }]);
  const skipped = appendedProposal();
  skipped.table.markSkipped(9);
  t.deepEqual(skipped.results, [{ kind: "unknown" }]);
});

test("finishAll ends every pending command", (t) => {
  const { table, results } = appendedProposal();
  const unappended: ProposalResult<string>[] = [];
  table.add((result) => unappended.push(result));
  table.finishAll();
  t.deepEqual(results, [{ kind: "unknown" }]);
  t.deepEqual(unappended, [{ kind: "notAppended" }]);
});
