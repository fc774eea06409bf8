import test from "ava";
import { PlannerWorld } from "../decisions/planner_fixture.ts";
import { RunTable } from "./run_table.ts";

test("an inherited run counts as ordered: the last leader may have", (t) => {
  const world = new PlannerWorld({ workers: 1 });
  world.submit("a", { taskCount: 2 });
  world.carryOut(world.plan());
  const table = RunTable.fromState(world.state, world.nowMs);
  t.is(table.size, 2);
  for (const run of table.all()) {
    t.is(run.startsSent, 1);
    t.true(run.hasUnansweredStart);
    t.is(run.confirmedAtMs, undefined);
  }
});

test("a run that this leader opens was never ordered before", (t) => {
  const world = new PlannerWorld({ workers: 1 });
  world.submit("a", { taskCount: 1 });
  const table = RunTable.fromState(world.state, world.nowMs);
  const [start] = world.plan().starts;
  table.follow(start!, world.state, world.nowMs);
  t.deepEqual([...table.all()].map(({ startsSent }) => startsSent), [0]);
});
