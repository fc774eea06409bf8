import test, { type ExecutionContext } from "ava";
import { LEASE_DEFAULTS } from "./lease_rule.ts";
import { makeWorld, TestBed, type TestBedOptions } from "./testing/test_bed.ts";

const PARTIAL_LIMIT_MS = LEASE_DEFAULTS.leaseMs *
  (1 + LEASE_DEFAULTS.clockDriftFraction);

function makeBed(options: Partial<TestBedOptions> = {}): TestBed {
  const world = makeWorld({ seed: 23, dataCentres: ["dc1"] });
  return new TestBed({ world, ...options });
}

function checkHistory(t: ExecutionContext, bed: TestBed): void {
  t.deepEqual(bed.history.violations, []);
  const tasksOf = (jobId: string) =>
    bed.ledger.get(jobId)?.specification.tasks ?? 1;
  const partialMs = bed.history.longestPartialMs(tasksOf);
  t.true(partialMs <= PARTIAL_LIMIT_MS, `partial for ${partialMs} ms`);
}

test("a worker that dies ends its gang, and the job runs again", async (t) => {
  const bed = makeBed();
  await bed.pass(2_000);
  void bed.submit({ jobId: "j1", tasks: 4, command: ["run", "20000"] });
  await bed.pass(5_000);
  bed.workers.get("w2")?.die();
  await bed.pass(60_000);
  t.is(bed.ledger.get("j1")?.end?.outcome, "succeeded");
  t.is(bed.history.starts("j1"), 8);
  checkHistory(t, bed);
});

/** Partitions one worker and restarts another, then heals the links. */
async function loseTwo(options: Partial<TestBedOptions>): Promise<TestBed> {
  const bed = makeBed(options);
  await bed.pass(2_000);
  void bed.submit({ jobId: "j1", tasks: 2, command: ["run", "100000"] });
  await bed.pass(5_000);
  const [first, second] = workersOf(bed, "j1") as [string, string];
  for (const id of bed.instanceIds) {
    bed.world.links.cut(id, second);
    bed.world.links.cut(second, id);
  }
  bed.workers.get(first)?.die();
  bed.workers.get(first)?.revive();
  await bed.pass(25_000);
  bed.world.links.heal();
  await bed.pass(120_000);
  return bed;
}

function workersOf(bed: TestBed, jobId: string): readonly string[] {
  const placements = bed.ledger.get(jobId)?.openAttempt?.placements ?? [];
  return placements.map((placement) => placement.workerId);
}

test("a partitioned worker stops its tasks when their lease expires", async (t) => {
  const bed = await loseTwo({});
  t.is(bed.ledger.get("j1")?.end?.outcome, "succeeded");
  checkHistory(t, bed);
});

test("not waiting for the lease of a silent worker is detected", async (t) => {
  const bed = await loseTwo({ omittedChecks: ["lapseWait"] });
  t.not(bed.history.violations.length, 0);
});

for (const isLeftOut of [false, true]) {
  const label = isLeftOut ? "go on without the check" : "are released";
  test(`stale tasks of a worker that returns ${label}`, async (t) => {
    const bed = makeBed({
      omittedFences: ["lease"],
      omittedChecks: isLeftOut ? ["returnedTasks"] : [],
    });
    await bed.pass(2_000);
    void bed.submit({ jobId: "j1", tasks: 2, command: ["run", "100000"] });
    await bed.pass(5_000);
    const [, second] = workersOf(bed, "j1") as [string, string];
    for (const id of bed.instanceIds) {
      bed.world.links.cut(id, second);
      bed.world.links.cut(second, id);
    }
    await bed.pass(20_000);
    bed.world.links.heal();
    await bed.pass(2_000);
    const held = bed.workers.get(second)?.tasks?.report("10.0.0.1:1").tasks;
    const given = held?.filter((task) =>
      task.attempt === 1 && task.state === "running"
    );
    t.is(given?.length, isLeftOut ? 1 : 0);
  });
}

/** From `stepMs` on, one worker receives messages but can't send any. */
async function startOnMute(
  options: Partial<TestBedOptions> & { stepMs: number },
): Promise<TestBed> {
  const bed = makeBed({ workers: 6, ...options });
  await bed.pass(2_000);
  void bed.submit({ jobId: "j1", tasks: 4, command: ["run", "5000"] });
  await bed.pass(options.stepMs);
  for (const id of bed.instanceIds) {
    bed.world.links.cut("w3", id);
  }
  await bed.pass(30_000);
  bed.world.links.heal();
  await bed.pass(30_000);
  return bed;
}

test("a start that one worker doesn't confirm is undone", async (t) => {
  for (let stepMs = 3; stepMs <= 15; stepMs++) {
    const bed = await startOnMute({ stepMs });
    t.is(bed.ledger.get("j1")?.end?.outcome, "succeeded");
    checkHistory(t, bed);
  }
});

test("not releasing a failed start is detected", async (t) => {
  let violations = 0;
  for (let stepMs = 3; stepMs <= 15; stepMs++) {
    const omittedChecks = ["releaseAll"] as const;
    const bed = await startOnMute({ stepMs, omittedChecks });
    violations += bed.history.violations.length;
  }
  t.not(violations, 0);
});

test("a task that fails ends its gang, and another attempt follows", async (t) => {
  const bed = makeBed();
  await bed.pass(2_000);
  const worker = bed.workers.get("w1");
  const faults = worker?.tasks?.faults;
  t.truthy(faults);
  if (faults !== undefined) {
    worker?.tasks?.setFaults({ ...faults, failsEveryTask: true });
  }
  void bed.submit({ jobId: "j1", tasks: 4, command: ["run", "2000"] });
  await bed.pass(10_000);
  t.true((bed.ledger.get("j1")?.attemptsUsed ?? 0) >= 2);
  if (faults !== undefined) {
    worker?.tasks?.setFaults(faults);
  }
  await bed.pass(10_000);
  t.is(bed.ledger.get("j1")?.end?.outcome, "succeeded");
  checkHistory(t, bed);
});

test("a worker that leaves has its gang checkpointed and moved", async (t) => {
  const bed = makeBed();
  await bed.pass(2_000);
  void bed.submit({ jobId: "j1", tasks: 4, command: ["run", "20000"] });
  await bed.pass(5_000);
  bed.workers.get("w1")?.tasks?.leave();
  await bed.pass(5_000);
  const ends = bed.history.happenings.filter((each) => each.kind === "ended");
  t.true(ends.length >= 4);
  t.true(ends.every((each) => each.outcome === "checkpointed"));
  t.true(bed.workers.get("w1")?.tasks?.isIdle);
  await bed.pass(30_000);
  t.is(bed.ledger.get("j1")?.end?.outcome, "succeeded");
  checkHistory(t, bed);
});
