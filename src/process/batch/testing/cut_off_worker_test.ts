/**
 * Workers that can't be reached for a while and run on under their leases.
 */

import test from "ava";
import type { StepSpec } from "../job_spec.ts";
import { BatchSimulation } from "./batch_simulation.ts";
import { stepSpec } from "./step_fixture.ts";

const WORKERS = 6;

const STEP = stepSpec({
  taskCount: 4,
  demand: { cpuMilli: 100, memoryMb: 100, accelerators: 8 },
  estimateMs: 8_000,
});

/** A pool on which four tasks run, or those of another step. */
async function runFourTasks(
  step: Partial<StepSpec> = {},
): Promise<BatchSimulation> {
  const simulation = new BatchSimulation({ seed: 3, workers: WORKERS });
  await simulation.open();
  await simulation.advance(2_000);
  void simulation.submit("job", {
    payload: "",
    steps: [{ ...STEP, ...step }],
    recurrence: undefined,
  });
  await simulation.advance(1_500);
  return simulation;
}

// Guards against taking a refused connection for the end of a worker's process.
test("runs of workers whose connections are refused aren't started elsewhere", async (t) => {
  const simulation = await runFourTasks();
  const { workerIds } = simulation;
  workerIds.slice(0, 3).forEach((id) => simulation.pool.setRefused(id, true));
  await simulation.advance(4_800);
  workerIds.forEach((id) => simulation.pool.setRefused(id, false));
  await simulation.advance(30_000);
  t.deepEqual(simulation.pool.violations, []);
  t.is(simulation.state!.jobs.get("job")?.phase, "completed");
  simulation.close();
});

// Guards against taking a report that a worker leaves for the end of its runs.
test("runs of a worker that leaves unacknowledged aren't started elsewhere", async (t) => {
  const simulation = await runFourTasks();
  const { pool } = simulation;
  pool.drain("w0");
  await simulation.advance(2_500);
  // Its report arrives, and nothing gets back to it.
  pool.setPartitioned("w0", true);
  void simulation.leave("w0");
  await simulation.advance(3_000);
  pool.crash("w0");
  await simulation.advance(30_000);
  t.deepEqual(pool.violations, []);
  t.is(simulation.state!.jobs.get("job")?.phase, "completed");
  t.is(simulation.state!.workers.size, WORKERS - 1);
  simulation.close();
});

// Guards against taking runs for lost whose ends didn't fit into a report.
for (const isLeaderNew of [false, true]) {
  const who = isLeaderNew ? "a new leader" : "the leader";
  test(`more ends than a report holds are all kept by ${who}`, async (t) => {
    const simulation = await runFourTasks({
      taskCount: 70,
      estimateMs: 2_000,
      demand: { cpuMilli: 10, memoryMb: 10, accelerators: 0 },
    });
    const { pool } = simulation;
    const starts = pool.starts;
    simulation.workerIds.forEach((id) => pool.setPartitioned(id, true));
    await simulation.advance(2_500);
    simulation.workerIds.forEach((id) => pool.setPartitioned(id, false));
    if (isLeaderNew) {
      await simulation.elect();
    }
    await simulation.advance(30_000);
    t.deepEqual(pool.violations, []);
    t.is(pool.starts, starts);
    t.is(simulation.state!.jobs.get("job")?.phase, "completed");
    simulation.close();
  });
}

test("a worker that leaves is acknowledged once its runs have ended", async (t) => {
  const simulation = await runFourTasks();
  const { pool } = simulation;
  const starts = pool.starts;
  pool.drain("w0");
  await simulation.advance(1_000);
  const reportedAtMs = simulation.clock.nowMs();
  let kind: string | undefined;
  void simulation.leave("w0").then((answer) => kind = answer.kind);
  while (kind === undefined) {
    await simulation.advance(20);
  }
  t.is(kind, "noted");
  t.true(simulation.clock.nowMs() - reportedAtMs < 700);
  pool.crash("w0");
  t.false(simulation.state!.workers.has("w0@1"));
  // No lease has to run out first.
  await simulation.advance(300);
  t.is(pool.starts, starts + 1);
  await simulation.advance(30_000);
  t.deepEqual(pool.violations, []);
  t.is(simulation.state!.jobs.get("job")?.phase, "completed");
  simulation.close();
});

test("runs of workers that refuse connections for good go on elsewhere", async (t) => {
  const simulation = await runFourTasks();
  simulation.pool.crash("w0");
  simulation.pool.crash("w1");
  simulation.pool.crash("w2");
  await simulation.advance(30_000);
  t.deepEqual(simulation.pool.violations, []);
  t.is(simulation.state!.jobs.get("job")?.phase, "completed");
  t.is(simulation.state!.workers.size, WORKERS - 3);
  simulation.close();
});

// Guards against waiting leases out by a clock that steps of the time of day move.
test("leases are waited out in full after steps of the time of day", async (t) => {
  const simulation = await runFourTasks();
  const { clock, pool, workerIds } = simulation;
  for (let step = 0; step < 3; step++) {
    await simulation.advance(200);
    clock.aheadMs += 700;
  }
  await simulation.advance(300);
  workerIds.slice(0, 3).forEach((id) => pool.setPartitioned(id, true));
  await simulation.advance(3_000);
  clock.aheadMs += 700;
  await simulation.advance(3_000);
  workerIds.forEach((id) => pool.setPartitioned(id, false));
  await simulation.advance(40_000);
  t.deepEqual(pool.violations, []);
  t.is(simulation.state!.jobs.get("job")?.phase, "completed");
  simulation.close();
});
