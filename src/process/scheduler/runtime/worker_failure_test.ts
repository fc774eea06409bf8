import test, { type ExecutionContext } from "ava";
import { LEASE_DEFAULTS } from "./lease_rule.ts";
import {
  DataCentreSimulation,
  type DataCentreSimulationOptions,
  makeEnvironment,
} from "./testing/data_centre_simulation.ts";

/** How long a gang may run partially: a lease, plus the permitted drift. */
const PARTIAL_LIMIT_MS = LEASE_DEFAULTS.leaseMs *
  (1 + LEASE_DEFAULTS.clockDriftFraction);

function makeSimulation(
  options: Partial<DataCentreSimulationOptions> = {},
): DataCentreSimulation {
  const environment = makeEnvironment({ seed: 23, dataCentres: ["dc1"] });
  return new DataCentreSimulation({ environment, ...options });
}

function checkHistory(
  t: ExecutionContext,
  simulation: DataCentreSimulation,
): void {
  t.deepEqual(simulation.history.violations, []);
  const tasksOf = (jobId: string) =>
    simulation.ledger.get(jobId)?.specification.tasks ?? 1;
  const partialMs = simulation.history.longestPartialMs(tasksOf);
  t.true(partialMs <= PARTIAL_LIMIT_MS, `partial for ${partialMs} ms`);
}

test("a worker that dies ends its gang, and the job runs again", async (t) => {
  const simulation = makeSimulation();
  await simulation.advance(2_000);
  void simulation.submit({ jobId: "j1", tasks: 4, command: ["run", "20000"] });
  await simulation.advance(5_000);
  simulation.workers.get("w2")?.die();
  await simulation.advance(60_000);
  t.is(simulation.ledger.get("j1")?.end?.outcome, "succeeded");
  t.is(simulation.history.starts("j1"), 8);
  checkHistory(t, simulation);
});

/** Partitions one worker and restarts another, then heals the links. */
async function partitionOneAndRestartOne(
  options: Partial<DataCentreSimulationOptions>,
): Promise<DataCentreSimulation> {
  const simulation = makeSimulation(options);
  await simulation.advance(2_000);
  void simulation.submit({ jobId: "j1", tasks: 2, command: ["run", "100000"] });
  await simulation.advance(5_000);
  const [first, second] = workersOf(simulation, "j1") as [string, string];
  for (const id of simulation.instanceIds) {
    simulation.environment.links.cut(id, second);
    simulation.environment.links.cut(second, id);
  }
  simulation.workers.get(first)?.die();
  simulation.workers.get(first)?.revive();
  await simulation.advance(25_000);
  simulation.environment.links.heal();
  await simulation.advance(120_000);
  return simulation;
}

function workersOf(
  simulation: DataCentreSimulation,
  jobId: string,
): readonly string[] {
  const placements = simulation.ledger.get(jobId)?.openAttempt?.placements ??
    [];
  return placements.map((placement) => placement.workerId);
}

test("a partitioned worker stops its tasks when their lease expires", async (t) => {
  const simulation = await partitionOneAndRestartOne({});
  t.is(simulation.ledger.get("j1")?.end?.outcome, "succeeded");
  checkHistory(t, simulation);
});

test("not waiting for the lease of a silent worker is detected", async (t) => {
  const simulation = await partitionOneAndRestartOne({
    omittedChecks: ["lapseWait"],
  });
  t.not(simulation.history.violations.length, 0);
});

for (const isOmitted of [false, true]) {
  const label = isOmitted ? "go on without the check" : "are released";
  test(`stale tasks of a worker that returns ${label}`, async (t) => {
    const simulation = makeSimulation({
      omittedFences: ["lease"],
      omittedChecks: isOmitted ? ["returnedTasks"] : [],
    });
    await simulation.advance(2_000);
    void simulation.submit({
      jobId: "j1",
      tasks: 2,
      command: ["run", "100000"],
    });
    await simulation.advance(5_000);
    const [, second] = workersOf(simulation, "j1") as [string, string];
    for (const id of simulation.instanceIds) {
      simulation.environment.links.cut(id, second);
      simulation.environment.links.cut(second, id);
    }
    await simulation.advance(20_000);
    simulation.environment.links.heal();
    await simulation.advance(2_000);
    const held = simulation.workers.get(second)?.tasks?.report("10.0.0.1:1")
      .tasks;
    const staleTasks = held?.filter((task) =>
      task.attempt === 1 && task.state === "running"
    );
    t.is(staleTasks?.length, isOmitted ? 1 : 0);
  });
}

/** From `stepMs` on, one worker receives messages but can't send any. */
async function startWithMutedWorker(
  options: Partial<DataCentreSimulationOptions> & { stepMs: number },
): Promise<DataCentreSimulation> {
  const simulation = makeSimulation({ workers: 6, ...options });
  await simulation.advance(2_000);
  void simulation.submit({ jobId: "j1", tasks: 4, command: ["run", "5000"] });
  await simulation.advance(options.stepMs);
  for (const id of simulation.instanceIds) {
    simulation.environment.links.cut("w3", id);
  }
  await simulation.advance(30_000);
  simulation.environment.links.heal();
  await simulation.advance(30_000);
  return simulation;
}

test("a start that one worker doesn't confirm is undone", async (t) => {
  for (let stepMs = 3; stepMs <= 15; stepMs++) {
    const simulation = await startWithMutedWorker({ stepMs });
    t.is(simulation.ledger.get("j1")?.end?.outcome, "succeeded");
    checkHistory(t, simulation);
  }
});

test("not releasing a failed start is detected", async (t) => {
  let violations = 0;
  for (let stepMs = 3; stepMs <= 15; stepMs++) {
    const omittedChecks = ["releaseAll"] as const;
    const simulation = await startWithMutedWorker({ stepMs, omittedChecks });
    violations += simulation.history.violations.length;
  }
  t.not(violations, 0);
});

test("a task that fails ends its gang, and another attempt follows", async (t) => {
  const simulation = makeSimulation();
  await simulation.advance(2_000);
  const worker = simulation.workers.get("w1");
  const faults = worker?.tasks?.faults;
  t.truthy(faults);
  if (faults !== undefined) {
    worker?.tasks?.setFaults({ ...faults, failsEveryTask: true });
  }
  void simulation.submit({ jobId: "j1", tasks: 4, command: ["run", "2000"] });
  await simulation.advance(10_000);
  t.true((simulation.ledger.get("j1")?.attemptsUsed ?? 0) >= 2);
  if (faults !== undefined) {
    worker?.tasks?.setFaults(faults);
  }
  await simulation.advance(10_000);
  t.is(simulation.ledger.get("j1")?.end?.outcome, "succeeded");
  checkHistory(t, simulation);
});

test("a worker that leaves has its gang checkpointed and moved", async (t) => {
  const simulation = makeSimulation();
  await simulation.advance(2_000);
  void simulation.submit({ jobId: "j1", tasks: 4, command: ["run", "20000"] });
  await simulation.advance(5_000);
  simulation.workers.get("w1")?.tasks?.leave();
  await simulation.advance(5_000);
  const ends = simulation.history.events.filter((each) =>
    each.kind === "ended"
  );
  t.true(ends.length >= 4);
  t.true(ends.every((each) => each.outcome === "checkpointed"));
  t.true(simulation.workers.get("w1")?.tasks?.isIdle);
  await simulation.advance(30_000);
  t.is(simulation.ledger.get("j1")?.end?.outcome, "succeeded");
  checkHistory(t, simulation);
});
