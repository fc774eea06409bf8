import test from "ava";
import {
  fill,
  makeJob,
  makeWorld,
  MINUTE_MS,
  ofKind,
  reasonOf,
  run,
  WHOLE_RACK,
} from "./testing/small_world.ts";

test("a job that can never fit is refused at once with the reason", (t) => {
  const world = makeWorld();
  world.submit(makeJob("wide", { tasks: 5, adjacency: "rack" }));
  world.submit(makeJob("thick", {
    resources: { cores: 1, memoryBytes: 1, accelerators: 9 },
  }));
  world.submit(makeJob("huge", { tasks: 9 }));
  const ends = ofKind(world, "jobEnds");
  t.deepEqual(ends.map(({ error }) => error), [
    "neverFits",
    "neverFits",
    "neverFits",
  ]);
  t.regex(ends[0]?.detail ?? "", /rack holds at most 4 of the 5/);
  t.regex(ends[1]?.detail ?? "", /more than any worker/);
  t.regex(ends[2]?.detail ?? "", /data centre holds at most 8 of the 9/);
});

test("urgent work evicts work on loan and starts in its target", (t) => {
  const world = makeWorld();
  fill(world, { clientAccount: "mills" });
  const submittedAtMs = world.nowMs;
  world.submit(makeJob("now", { jobClass: "urgent" }));
  const [stop] = ofKind(world, "stopGang");
  t.is(stop?.reason, "preempted");
  t.true((stop?.checkpointDeadlineMs ?? Infinity) < submittedAtMs + 1_900);
  t.is(reasonOf(world, "now"), "preemption");
  world.deliverAll();
  t.is(world.core.jobView("now")?.phase, "running");
  t.deepEqual(world.broken, []);
});

test("a guarantee is reclaimed from work on loan, and only from it", (t) => {
  const world = makeWorld({ lakes: [WHOLE_RACK], mills: [WHOLE_RACK] });
  fill(world, { clientAccount: "mills" });
  const within = world.core.jobs().filter((each) => each.isGuaranteed);
  t.is(within.length, 4);
  world.submit(makeJob("mine", { tasks: 4, adjacency: "rack" }));
  run(world);
  const stopped = ofKind(world, "stopGang").map(({ jobId }) => jobId);
  t.is(stopped.length, 4);
  t.false(within.some(({ jobId }) => stopped.includes(jobId)));
  t.is(world.core.jobView("mine")?.phase, "running");
  t.true(world.core.jobView("mine")?.isGuaranteed);
  t.deepEqual(world.broken, []);
});

test("the cheapest victim is the one that lost least", (t) => {
  const world = makeWorld();
  fill(world, { clientAccount: "mills" });
  run(world, 5 * MINUTE_MS);
  const kept = world.core.jobView("fill-3");
  world.send({
    kind: "workerUsageReported",
    atMs: world.nowMs,
    workerId: kept?.placements[0]?.workerId ?? "",
    usages: [{
      jobId: "fill-3",
      attempt: 1,
      taskIndex: 0,
      cores: 1,
      memoryBytes: 100,
      accelerators: 8,
      checkpointedAtMs: world.nowMs,
    }],
  });
  world.submit(makeJob("now", { jobClass: "urgent" }));
  t.deepEqual(ofKind(world, "stopGang").map(({ jobId }) => jobId), ["fill-3"]);
});

test("a guarantee moves to other workers when one is lost", (t) => {
  const world = makeWorld({
    lakes: [{ ...WHOLE_RACK, workersPerRack: 2 }],
    mills: [{ ...WHOLE_RACK, workersPerRack: 2 }],
  });
  run(world);
  const taken = world.core.workers().filter((each) => each.promisedAccelerators)
    .map(({ workerId }) => workerId);
  world.lose(taken[0] ?? "", { leavesZombies: false });
  t.is(world.core.metrics().unplacedCells, 0);
  t.deepEqual(world.broken, []);
});

test("a worker on which different jobs fail is quarantined and probed", (t) => {
  const world = makeWorld();
  const bad = "r0w0";
  const placedOnBad = () =>
    world.core.jobs().find((job) =>
      job.phase === "running" &&
      job.placements.some(({ workerId }) => workerId === bad)
    );
  for (let at = 0; at < 30; at++) {
    world.submit(makeJob(`job-${at}`));
  }
  for (let round = 0; round < 3; round++) {
    run(world, 100);
    const failing = placedOnBad()?.jobId ?? "";
    for (const { jobId, phase } of world.core.jobs()) {
      if (phase === "running") {
        world.endJob(jobId, { fails: jobId === failing });
      }
    }
  }
  t.deepEqual(ofKind(world, "quarantineWorker").map((each) => each.workerId), [
    bad,
  ]);
  run(world, 30_000);
  t.is(placedOnBad(), undefined);
  run(world, MINUTE_MS);
  const probe = placedOnBad();
  t.truthy(probe);
  world.endJob(probe?.jobId ?? "", { fails: false });
  t.deepEqual(ofKind(world, "releaseWorker").map((each) => each.workerId), [
    bad,
  ]);
});

test("a job that fails on good workers ends; the workers stay", (t) => {
  const world = makeWorld();
  fill(world, {});
  for (let at = 0; at < 8; at++) {
    world.endJob(`fill-${at}`, { fails: false });
  }
  world.submit(makeJob("bad"));
  for (let round = 0; round < 5; round++) {
    run(world, MINUTE_MS);
    world.endJob("bad", { fails: true });
    world.deliverAll();
  }
  t.is(world.core.jobView("bad")?.outcome, "failed");
  t.is(world.core.jobView("bad")?.attempt, 3);
  t.deepEqual(ofKind(world, "quarantineWorker"), []);
});

test("a start that was cancelled on its way speaks against no worker", (t) => {
  const world = makeWorld();
  for (const workerId of [...world.workers.keys()].slice(1)) {
    world.lose(workerId, { leavesZombies: false });
  }
  for (let at = 0; at < 4; at++) {
    world.submit(makeJob(`job-${at}`));
    world.permit(MINUTE_MS);
    world.tick(100);
    world.cancel(`job-${at}`);
    world.deliver(0, { fails: true });
    world.deliverAll();
  }
  t.deepEqual(ofKind(world, "quarantineWorker"), []);
  t.is(world.core.jobView("job-3")?.outcome, "cancelled");
});

test("an overrunning job is throttled, then stopped", (t) => {
  const world = makeWorld();
  world.submit(makeJob("long", { declaredRunMs: MINUTE_MS }));
  run(world);
  run(world, 3 * MINUTE_MS);
  t.is(ofKind(world, "throttleGang").length, 1);
  t.deepEqual(ofKind(world, "stopGang"), []);
  run(world, 7 * MINUTE_MS);
  t.is(ofKind(world, "stopGang")[0]?.reason, "overrun");
  t.is(world.core.jobView("long")?.outcome, "overran");
});

test("run times are corrected from experience", (t) => {
  const world = makeWorld();
  for (let at = 0; at < 12; at++) {
    world.submit(makeJob(`job-${at}`, { declaredRunMs: 4 * MINUTE_MS }));
    run(world);
    run(world, MINUTE_MS);
    world.endJob(`job-${at}`, { fails: false });
  }
  world.submit(makeJob("next", { declaredRunMs: 4 * MINUTE_MS }));
  const expectedMs = world.core.jobView("next")?.expectedRunMs ?? 0;
  t.true(expectedMs > 0.8 * MINUTE_MS && expectedMs < 2 * MINUTE_MS);
});

test("a large gang that waits gets a reservation with a deadline", (t) => {
  const world = makeWorld();
  fill(world, { clientAccount: "mills", declaredRunMs: 60 * MINUTE_MS });
  world.submit(makeJob("large", { tasks: 4, adjacency: "rack" }));
  run(world);
  t.is(reasonOf(world, "large"), "capacity");
  run(world, MINUTE_MS);
  t.is(reasonOf(world, "large"), "reservation");
  run(world, 5 * MINUTE_MS);
  t.is(world.core.jobView("large")?.phase, "running");
  t.deepEqual(
    new Set(ofKind(world, "stopGang").map(({ reason }) => reason)),
    new Set(["migrated"]),
  );
});

test("short work goes on behind a reservation, long work doesn't", (t) => {
  const world = makeWorld();
  fill(world, { clientAccount: "mills", declaredRunMs: 60 * MINUTE_MS });
  world.submit(makeJob("large", { tasks: 4, adjacency: "rack" }));
  run(world, MINUTE_MS);
  t.is(reasonOf(world, "large"), "reservation");
  world.endJob("fill-0", { fails: false });
  world.endJob("fill-4", { fails: false });
  world.submit(makeJob("long-1", { declaredRunMs: 60 * MINUTE_MS }));
  world.submit(makeJob("long-2", { declaredRunMs: 60 * MINUTE_MS }));
  run(world);
  world.submit(makeJob("short", { declaredRunMs: 10_000 }));
  run(world);
  const phases = ["long-1", "long-2", "short"]
    .map((jobId) => world.core.jobView(jobId)?.phase);
  t.deepEqual(phases, ["running", "queued", "running"]);
});

test("a borrowing limit and a weight of nothing hold work back", (t) => {
  const world = makeWorld();
  const { clientAccounts } = world.document;
  const { lakes, mills } = clientAccounts;
  if (lakes === undefined || mills === undefined) {
    return t.fail();
  }
  world.configure({
    clientAccounts: {
      lakes: { ...lakes, borrowingLimitAccelerators: 8 },
      mills: { ...mills, borrowingWeight: 0 },
    },
  });
  world.submit(makeJob("first"));
  run(world);
  world.submit(makeJob("second", { tasks: 2 }));
  world.submit(makeJob("other", { clientAccount: "mills" }));
  run(world);
  t.is(world.core.jobView("first")?.phase, "running");
  t.is(reasonOf(world, "second"), "borrowingLimit");
  t.is(reasonOf(world, "other"), "fairShare");
});

test("accounts borrow in proportion to their weights", (t) => {
  const world = makeWorld();
  const { lakes, mills } = world.document.clientAccounts;
  if (lakes === undefined || mills === undefined) {
    return t.fail();
  }
  world.configure({
    clientAccounts: { lakes: { ...lakes, borrowingWeight: 3 }, mills },
  });
  for (let at = 0; at < 8; at++) {
    world.submit(makeJob(`lakes-${at}`));
    world.submit(makeJob(`mills-${at}`, { clientAccount: "mills" }));
  }
  run(world);
  const running = world.core.jobs().filter(({ phase }) => phase === "running")
    .map(({ clientAccount }) => clientAccount);
  t.is(running.filter((name) => name === "lakes").length, 6);
  t.is(running.filter((name) => name === "mills").length, 2);
});
