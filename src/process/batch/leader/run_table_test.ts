import test from "ava";
import { PlannerFixture } from "../decisions/planner_fixture.ts";
import { RunTable } from "./run_table.ts";

test("an inherited run's start counts as sent, since the last leader may have sent it", (t) => {
  const fixture = new PlannerFixture({ workers: 1 });
  fixture.submit("a", { taskCount: 2 });
  fixture.applyStarts(fixture.plan());
  const table = RunTable.fromState(fixture.state, fixture.nowMs);
  t.is(table.size, 2);
  for (const run of table.all()) {
    t.is(run.startsSent, 1);
    t.true(run.hasUnansweredStart);
    t.is(run.confirmedAtMs, undefined);
  }
});

test("a run that this leader opens has no start sent yet", (t) => {
  const fixture = new PlannerFixture({ workers: 1 });
  fixture.submit("a", { taskCount: 1 });
  const table = RunTable.fromState(fixture.state, fixture.nowMs);
  const [start] = fixture.plan().starts;
  table.applyItem(start!, fixture.state, fixture.nowMs);
  t.deepEqual([...table.all()].map(({ startsSent }) => startsSent), [0]);
});
