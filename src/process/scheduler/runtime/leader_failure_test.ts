import test, { type ExecutionContext } from "ava";
import { LEASE_DEFAULTS } from "./lease_rule.ts";
import { makeWorld, TestBed, type TestBedOptions } from "./testing/test_bed.ts";

/** The duration of a lease, lengthened by the permitted clock drift. */
const PARTIAL_LIMIT_MS = LEASE_DEFAULTS.leaseMs *
  (1 + LEASE_DEFAULTS.clockDriftFraction);

function makeBed(options: Partial<TestBedOptions> = {}, seed = 11): TestBed {
  const world = makeWorld({ seed, dataCentres: ["dc1"] });
  return new TestBed({ world, ...options });
}

/** Checks what actually ran on the workers against the safety rules. */
function checkHistory(t: ExecutionContext, bed: TestBed, note = ""): void {
  t.deepEqual(bed.history.violations, [], note);
  const tasksOf = (jobId: string) =>
    bed.ledger.get(jobId)?.specification.tasks ?? 1;
  const partialMs = bed.history.longestPartialMs(tasksOf);
  t.true(partialMs <= PARTIAL_LIMIT_MS, `${note}: partial ${partialMs} ms`);
}

for (const fate of ["dies", "is partitioned"] as const) {
  test(`a leader that ${fate} at any step of a start loses no job`, async (t) => {
    for (let stepMs = 0; stepMs <= 24; stepMs++) {
      const bed = makeBed({}, stepMs + 1);
      await bed.pass(2_000);
      const submitted = bed.submit({ jobId: "j1", tasks: 4 });
      await bed.pass(stepMs);
      const [leader, next] = bed.instanceIds as [string, string];
      if (fate === "dies") {
        bed.killInstance(leader);
      } else {
        bed.group.cut(leader);
      }
      await bed.pass(1_600);
      t.true(bed.elect(next));
      await bed.pass(4_000);
      const isAccepted = bed.ledger.get("j1") !== undefined;
      t.true(isAccepted || stepMs < 10);
      await bed.pass(26_000);
      checkHistory(t, bed, `step ${stepMs}`);
      const outcome = bed.ledger.get("j1")?.end?.outcome;
      t.is(outcome, isAccepted ? "succeeded" : undefined, `step ${stepMs}`);
      void submitted;
    }
  });
}

test("a cancellation at any step of a start ends the job", async (t) => {
  for (let stepMs = 0; stepMs <= 30; stepMs += 1) {
    const bed = makeBed({}, stepMs + 1);
    await bed.pass(2_000);
    const submitted = bed.submit({
      jobId: "j1",
      tasks: 4,
      command: ["run", "60000"],
    });
    await bed.pass(8);
    t.true(await submitted);
    await bed.pass(stepMs);
    const cancelled = bed.cancel("j1");
    await bed.pass(3_000);
    t.true(await cancelled);
    t.is(bed.ledger.get("j1")?.end?.outcome, "cancelled", `step ${stepMs}`);
    t.false(bed.history.isRunning("j1"));
    checkHistory(t, bed, `step ${stepMs}`);
  }
});

test("an intact gang keeps running through a change of leader", async (t) => {
  const bed = makeBed();
  await bed.pass(2_000);
  const command = ["run", "120000"];
  void bed.submit({ jobId: "j1", tasks: 6, command });
  await bed.pass(3_000);
  const [leader, next] = bed.instanceIds as [string, string];
  bed.group.cut(leader);
  await bed.pass(1_600);
  t.true(bed.elect(next));
  await bed.pass(180_000);
  t.is(bed.ledger.get("j1")?.end?.outcome, "succeeded");
  t.is(bed.history.starts("j1"), 6);
  checkHistory(t, bed);
});

test("a former leader that returns from a partition starts nothing", async (t) => {
  const bed = makeBed();
  await bed.pass(2_000);
  void bed.submit({ jobId: "j1", tasks: 4, command: ["run", "30000"] });
  await bed.pass(2_000);
  const [leader, next] = bed.instanceIds as [string, string];
  bed.group.cut(leader);
  bed.instance(leader).copy.cut();
  for (const peer of bed.instanceIds) {
    bed.world.links.cut(leader, peer);
    bed.world.links.cut(peer, leader);
  }
  await bed.pass(1_600);
  t.true(bed.elect(next));
  await bed.pass(240_000);
  bed.group.heal(leader);
  bed.instance(leader).copy.heal();
  bed.world.links.heal();
  const submitted = bed.submit({ jobId: "j2", tasks: 4 });
  await bed.pass(10_000);
  t.true(await submitted);
  t.is(bed.ledger.get("j1")?.end?.outcome, "succeeded");
  t.is(bed.ledger.get("j2")?.end?.outcome, "succeeded");
  t.is(bed.history.starts("j1"), 4);
  checkHistory(t, bed);
});

test("jobs survive the restart of every instance, one by one", async (t) => {
  const bed = makeBed();
  await bed.pass(2_000);
  for (let at = 0; at < 8; at++) {
    void bed.submit({ jobId: `j${at}`, tasks: 8, command: ["run", "20000"] });
  }
  await bed.pass(5_000);
  for (const id of bed.instanceIds) {
    const other = bed.instanceIds.find((each) => each !== id) as string;
    bed.killInstance(id);
    await bed.pass(1_600);
    bed.elect(other);
    await bed.pass(5_000);
    bed.startInstance(id);
    await bed.pass(5_000);
  }
  await bed.pass(120_000);
  for (let at = 0; at < 8; at++) {
    t.is(bed.ledger.get(`j${at}`)?.end?.outcome, "succeeded");
  }
  checkHistory(t, bed);
});

test("a new leader waits for a silent worker of an open attempt", async (t) => {
  const bed = makeBed();
  await bed.pass(2_000);
  void bed.submit({ jobId: "j1", tasks: 4, command: ["run", "300000"] });
  await bed.pass(3_000);
  const [leader, next] = bed.instanceIds as [string, string];
  for (const id of bed.instanceIds) {
    bed.world.links.cut(id, "w1");
  }
  bed.group.cut(leader);
  await bed.pass(1_600);
  t.true(bed.elect(next));
  await bed.pass(8_000);
  t.false(bed.instance(next).runtime.isScheduling);
  t.is(bed.history.starts("j1"), 4);
  await bed.pass(6_000);
  t.true(bed.instance(next).runtime.isScheduling);
  bed.world.links.heal();
  await bed.pass(20_000);
  t.is(bed.history.starts("j1"), 8);
  checkHistory(t, bed);
});

test("a leader that doesn't wait for silent workers is detected", async (t) => {
  const bed = makeBed({ omittedChecks: ["recoveryWait", "lapseWait"] });
  await bed.pass(2_000);
  void bed.submit({ jobId: "j1", tasks: 3, command: ["run", "300000"] });
  await bed.pass(3_000);
  const [leader, next] = bed.instanceIds as [string, string];
  for (const id of bed.instanceIds) {
    bed.world.links.cut(id, "w1");
    bed.world.links.cut("w1", id);
  }
  bed.group.cut(leader);
  await bed.pass(1_600);
  t.true(bed.elect(next));
  await bed.pass(6_000);
  t.not(bed.history.violations.length, 0);
});
