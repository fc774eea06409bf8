/**
 * Workers that another one seems to displace, by its ID or at its address.
 */

import test, { type ExecutionContext } from "ava";
import { workerKeyOf, type WorkerRecord } from "../batch_command.ts";
import { BatchSimulation } from "./batch_simulation.ts";
import { stepSpec } from "./step_fixture.ts";

const WORKERS = 6;

const STEP = stepSpec({
  taskCount: 3,
  demand: { cpuMilli: 100, memoryMb: 100, accelerators: 4 },
  estimateMs: 16_000,
});

/** A pool on which tasks of two jobs run, those of both on one worker. */
async function runTwoJobs(): Promise<
  { simulation: BatchSimulation; name: string; starts: number }
> {
  const simulation = new BatchSimulation({ seed: 5, workers: WORKERS });
  await simulation.open();
  await simulation.advance(2_000);
  for (const job of ["one", "two"]) {
    void simulation.submit(job, {
      payload: "",
      steps: [STEP],
      recurrence: undefined,
    });
  }
  await simulation.advance(1_500);
  const { pool, workerIds } = simulation;
  const name = workerIds.find((id) =>
    ["one", "two"].every((job) =>
      pool.runningOn(id).some((task) => task.startsWith(job))
    )
  )!;
  return { simulation, name, starts: pool.starts };
}

/** Announces what another writer makes up of the worker. */
function announce(
  simulation: BatchSimulation,
  name: string,
  changes: Partial<WorkerRecord>,
): void {
  const record = { ...simulation.pool.recordOf(name), ...changes };
  const key = workerKeyOf(record.id, record.bornMs);
  simulation.pool.announce({ ...record, key });
}

/** Checks that all tasks run to their end where they were started first. */
async function checkNothingMoves(
  t: ExecutionContext,
  simulation: BatchSimulation,
  { starts }: { starts: number },
): Promise<void> {
  await simulation.advance(40_000);
  t.deepEqual(simulation.pool.violations, []);
  t.is(simulation.pool.starts, starts);
  for (const job of ["one", "two"]) {
    t.is(simulation.state!.jobs.get(job)?.phase, "completed");
  }
  simulation.close();
}

const BORN_LATER_MS = 900_000;

const STRANGERS: Record<string, Partial<WorkerRecord>> = {
  "another worker at its address": { id: "w77", bornMs: BORN_LATER_MS },
  "another worker at its address with its start": { id: "w77", bornMs: 1 },
  "another worker at its address without a start": { id: "w77", bornMs: 0 },
  "its ID with a later start": { bornMs: BORN_LATER_MS },
  "its ID with an earlier start": { bornMs: 0 },
  "its ID with a later start elsewhere": {
    bornMs: BORN_LATER_MS,
    address: "10.0.0.9:9",
  },
  "its ID and start elsewhere": { address: "10.0.0.9:9" },
  "its ID and start at another worker's address": { address: "10.0.0.1:6" },
};

// Guard against taking an announcement for the end of a worker.
for (const [what, changes] of Object.entries(STRANGERS)) {
  for (const isLeaderNew of [false, true]) {
    const when = isLeaderNew ? ", before a change of leader" : "";
    test(`a worker goes on though ${what} is announced${when}`, async (t) => {
      const { simulation, name, starts } = await runTwoJobs();
      announce(simulation, name, changes);
      await simulation.advance(isLeaderNew ? 560 : 3_000);
      if (isLeaderNew) {
        await simulation.elect();
      }
      await checkNothingMoves(t, simulation, { starts });
    });
  }
}

// Guards against taking a second process with a worker's ID for its successor.
test("a worker goes on though its ID is started a second time elsewhere", async (t) => {
  const { simulation, name, starts } = await runTwoJobs();
  simulation.pool.add("second", { id: name, address: "10.0.0.9:9" });
  await checkNothingMoves(t, simulation, { starts });
});

// Guards against taking an earlier answer at another address for a successor's.
test("a worker goes on though a gone one with a later start is announced at its address", async (t) => {
  const { simulation, name, starts } = await runTwoJobs();
  const { pool, workerIds } = simulation;
  const idle = workerIds.find((id) => pool.runningOn(id).length === 0)!;
  pool.crash(idle);
  pool.restart(idle);
  await simulation.advance(1_500);
  const { address } = pool.recordOf(name);
  const gone = { ...pool.recordOf(idle), address };
  pool.crash(idle);
  await simulation.advance(500);
  pool.announce(gone);
  await checkNothingMoves(t, simulation, { starts });
});

// Guards against an answer of the process itself that proves its own end.
test("a worker goes on though it was first announced without its start", async (t) => {
  const simulation = new BatchSimulation({ seed: 5, workers: 1 });
  const { pool } = simulation;
  const record = { ...pool.recordOf("w0"), bornMs: 0 };
  pool.announce({ ...record, key: workerKeyOf(record.id, 0) });
  pool.setUnannounced("w0", true);
  await simulation.open();
  await simulation.advance(2_000);
  for (const job of ["one", "two"]) {
    void simulation.submit(job, {
      payload: "",
      steps: [{ ...STEP, taskCount: 1 }],
      recurrence: undefined,
    });
  }
  await simulation.advance(1_500);
  pool.setUnannounced("w0", false);
  await simulation.advance(60_000);
  t.deepEqual(pool.violations, []);
  t.is(pool.starts, 2);
  for (const job of ["one", "two"]) {
    t.is(simulation.state!.jobs.get(job)?.phase, "completed");
  }
  simulation.close();
});

// Guards against waiting for less than the leases of the leader before.
test("a new leader waits out the leases of a worker without a record", async (t) => {
  const { simulation, name } = await runTwoJobs();
  const { pool, state } = simulation;
  const { key } = pool.recordOf(name);
  pool.setRefused(name, true);
  simulation.log.push({
    kind: "batch",
    epoch: state!.epoch,
    atMs: simulation.clock.nowMs(),
    items: [{ kind: "workerGone", key }],
  });
  await simulation.elect();
  await simulation.advance(40_000);
  t.deepEqual(pool.violations, []);
  simulation.close();
});

for (const id of ["the same", "w77"]) {
  test(`tasks start again soon after a restart at the address with ${id} ID`, async (t) => {
    const { simulation, name, starts } = await runTwoJobs();
    const { pool } = simulation;
    const { address } = pool.recordOf(name);
    const lost = pool.runningOn(name).length;
    pool.crash(name);
    await simulation.advance(500);
    if (id === "w77") {
      pool.add("next", { id, address });
    } else {
      pool.restart(name);
    }
    await simulation.advance(1_000);
    t.is(pool.starts, starts + lost);
    await simulation.advance(40_000);
    t.deepEqual(pool.violations, []);
    t.is(simulation.state!.workers.size, WORKERS);
    simulation.close();
  });
}
