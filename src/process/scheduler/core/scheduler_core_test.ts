import test from "ava";
import {
  advance,
  decisionsOfKind,
  fillWorkers,
  makeJob,
  makeRuntime,
  MINUTE_MS,
  waitReasonOf,
  WHOLE_RACK,
} from "./testing/test_runtime.ts";

test("a job that can never fit is refused at once with the reason", (t) => {
  const runtime = makeRuntime();
  runtime.submit(makeJob("wide", { tasks: 5, adjacency: "rack" }));
  runtime.submit(makeJob("thick", {
    resources: { cores: 1, memoryBytes: 1, accelerators: 9 },
  }));
  runtime.submit(makeJob("huge", { tasks: 9 }));
  const ends = decisionsOfKind(runtime, "jobEnds");
  t.deepEqual(ends.map(({ error }) => error), [
    "neverFits",
    "neverFits",
    "neverFits",
  ]);
  t.regex(ends[0]?.detail ?? "", /rack holds at most 4 of the 5/);
  t.regex(ends[1]?.detail ?? "", /more than any worker/);
  t.regex(ends[2]?.detail ?? "", /data centre holds at most 8 of the 9/);
});

test("urgent work evicts borrowing gangs and starts within its target", (t) => {
  const runtime = makeRuntime();
  fillWorkers(runtime, { clientAccount: "mills" });
  const submittedAtMs = runtime.nowMs;
  runtime.submit(makeJob("now", { jobClass: "urgent" }));
  const [stop] = decisionsOfKind(runtime, "stopGang");
  t.is(stop?.reason, "preempted");
  t.true((stop?.checkpointDeadlineMs ?? Infinity) < submittedAtMs + 1_900);
  t.is(waitReasonOf(runtime, "now"), "preemption");
  runtime.deliverAll();
  t.is(runtime.core.jobView("now")?.phase, "running");
  t.deepEqual(runtime.violations, []);
});

test("a guarantee is reclaimed from borrowing gangs, and only from them", (t) => {
  const runtime = makeRuntime({ lakes: [WHOLE_RACK], mills: [WHOLE_RACK] });
  fillWorkers(runtime, { clientAccount: "mills" });
  const within = runtime.core.jobs().filter((each) => each.isGuaranteed);
  t.is(within.length, 4);
  runtime.submit(makeJob("mine", { tasks: 4, adjacency: "rack" }));
  advance(runtime);
  const stopped = decisionsOfKind(runtime, "stopGang").map(({ jobId }) =>
    jobId
  );
  t.is(stopped.length, 4);
  t.false(within.some(({ jobId }) => stopped.includes(jobId)));
  t.is(runtime.core.jobView("mine")?.phase, "running");
  t.true(runtime.core.jobView("mine")?.isGuaranteed);
  t.deepEqual(runtime.violations, []);
});

test("the victim is the gang that would lose the least work", (t) => {
  const runtime = makeRuntime();
  fillWorkers(runtime, { clientAccount: "mills" });
  advance(runtime, 5 * MINUTE_MS);
  const kept = runtime.core.jobView("fill-3");
  runtime.send({
    kind: "workerUsageReported",
    atMs: runtime.nowMs,
    workerId: kept?.placements[0]?.workerId ?? "",
    usages: [{
      jobId: "fill-3",
      attempt: 1,
      taskIndex: 0,
      cores: 1,
      memoryBytes: 100,
      accelerators: 8,
      checkpointedAtMs: runtime.nowMs,
    }],
  });
  runtime.submit(makeJob("now", { jobClass: "urgent" }));
  t.deepEqual(decisionsOfKind(runtime, "stopGang").map(({ jobId }) => jobId), [
    "fill-3",
  ]);
});

test("a guarantee moves to other workers when one of its own is lost", (t) => {
  const runtime = makeRuntime({
    lakes: [{ ...WHOLE_RACK, workersPerRack: 2 }],
    mills: [{ ...WHOLE_RACK, workersPerRack: 2 }],
  });
  advance(runtime);
  const taken = runtime.core.workers().filter((each) =>
    each.guaranteeAccelerators
  )
    .map(({ workerId }) => workerId);
  runtime.lose(taken[0] ?? "", { leavesStaleTasks: false });
  t.is(runtime.core.metrics().unplacedGuarantees, 0);
  t.deepEqual(runtime.violations, []);
});

test("a worker on which different jobs fail is quarantined and probed", (t) => {
  const runtime = makeRuntime();
  const bad = "r0w0";
  const placedOnBad = () =>
    runtime.core.jobs().find((job) =>
      job.phase === "running" &&
      job.placements.some(({ workerId }) => workerId === bad)
    );
  for (let index = 0; index < 30; index++) {
    runtime.submit(makeJob(`job-${index}`));
  }
  for (let round = 0; round < 3; round++) {
    advance(runtime, 100);
    const failing = placedOnBad()?.jobId ?? "";
    for (const { jobId, phase } of runtime.core.jobs()) {
      if (phase === "running") {
        runtime.endJob(jobId, { fails: jobId === failing });
      }
    }
  }
  t.deepEqual(
    decisionsOfKind(runtime, "quarantineWorker").map((each) => each.workerId),
    [
      bad,
    ],
  );
  advance(runtime, 30_000);
  t.is(placedOnBad(), undefined);
  advance(runtime, MINUTE_MS);
  const probe = placedOnBad();
  t.truthy(probe);
  runtime.endJob(probe?.jobId ?? "", { fails: false });
  t.deepEqual(
    decisionsOfKind(runtime, "releaseWorker").map((each) => each.workerId),
    [
      bad,
    ],
  );
});

test("a job that fails on good workers ends; the workers stay in use", (t) => {
  const runtime = makeRuntime();
  fillWorkers(runtime, {});
  for (let index = 0; index < 8; index++) {
    runtime.endJob(`fill-${index}`, { fails: false });
  }
  runtime.submit(makeJob("bad"));
  for (let round = 0; round < 5; round++) {
    advance(runtime, MINUTE_MS);
    runtime.endJob("bad", { fails: true });
    runtime.deliverAll();
  }
  t.is(runtime.core.jobView("bad")?.outcome, "failed");
  t.is(runtime.core.jobView("bad")?.attempt, 3);
  t.deepEqual(decisionsOfKind(runtime, "quarantineWorker"), []);
});

test("a failed start of a cancelled job doesn't count against the workers", (t) => {
  const runtime = makeRuntime();
  for (const workerId of [...runtime.workers.keys()].slice(1)) {
    runtime.lose(workerId, { leavesStaleTasks: false });
  }
  for (let index = 0; index < 4; index++) {
    runtime.submit(makeJob(`job-${index}`));
    runtime.permit(MINUTE_MS);
    runtime.tick(100);
    runtime.cancel(`job-${index}`);
    runtime.deliver(0, { fails: true });
    runtime.deliverAll();
  }
  t.deepEqual(decisionsOfKind(runtime, "quarantineWorker"), []);
  t.is(runtime.core.jobView("job-3")?.outcome, "cancelled");
});

test("an overrunning job is throttled, then stopped", (t) => {
  const runtime = makeRuntime();
  runtime.submit(makeJob("long", { declaredRunMs: MINUTE_MS }));
  advance(runtime);
  advance(runtime, 3 * MINUTE_MS);
  t.is(decisionsOfKind(runtime, "throttleGang").length, 1);
  t.deepEqual(decisionsOfKind(runtime, "stopGang"), []);
  advance(runtime, 7 * MINUTE_MS);
  t.is(decisionsOfKind(runtime, "stopGang")[0]?.reason, "overrun");
  t.is(runtime.core.jobView("long")?.outcome, "overran");
});

test("expected run times are corrected by the observed ones", (t) => {
  const runtime = makeRuntime();
  for (let index = 0; index < 12; index++) {
    runtime.submit(makeJob(`job-${index}`, { declaredRunMs: 4 * MINUTE_MS }));
    advance(runtime);
    advance(runtime, MINUTE_MS);
    runtime.endJob(`job-${index}`, { fails: false });
  }
  runtime.submit(makeJob("next", { declaredRunMs: 4 * MINUTE_MS }));
  const expectedMs = runtime.core.jobView("next")?.expectedRunMs ?? 0;
  t.true(expectedMs > 0.8 * MINUTE_MS && expectedMs < 2 * MINUTE_MS);
});

test("a large gang that waits gets a reservation with a deadline", (t) => {
  const runtime = makeRuntime();
  fillWorkers(runtime, {
    clientAccount: "mills",
    declaredRunMs: 60 * MINUTE_MS,
  });
  runtime.submit(makeJob("large", { tasks: 4, adjacency: "rack" }));
  advance(runtime);
  t.is(waitReasonOf(runtime, "large"), "capacity");
  advance(runtime, MINUTE_MS);
  t.is(waitReasonOf(runtime, "large"), "reservation");
  advance(runtime, 5 * MINUTE_MS);
  t.is(runtime.core.jobView("large")?.phase, "running");
  t.deepEqual(
    new Set(decisionsOfKind(runtime, "stopGang").map(({ reason }) => reason)),
    new Set(["migrated"]),
  );
});

test("short jobs backfill a draining reservation, long jobs don't", (t) => {
  const runtime = makeRuntime();
  fillWorkers(runtime, {
    clientAccount: "mills",
    declaredRunMs: 60 * MINUTE_MS,
  });
  runtime.submit(makeJob("large", { tasks: 4, adjacency: "rack" }));
  advance(runtime, MINUTE_MS);
  t.is(waitReasonOf(runtime, "large"), "reservation");
  runtime.endJob("fill-0", { fails: false });
  runtime.endJob("fill-4", { fails: false });
  runtime.submit(makeJob("long-1", { declaredRunMs: 60 * MINUTE_MS }));
  runtime.submit(makeJob("long-2", { declaredRunMs: 60 * MINUTE_MS }));
  advance(runtime);
  runtime.submit(makeJob("short", { declaredRunMs: 10_000 }));
  advance(runtime);
  const phases = ["long-1", "long-2", "short"]
    .map((jobId) => runtime.core.jobView(jobId)?.phase);
  t.deepEqual(phases, ["running", "queued", "running"]);
});

test("a borrowing limit and a borrowing weight of 0 make jobs wait", (t) => {
  const runtime = makeRuntime();
  const { clientAccounts } = runtime.document;
  const { lakes, mills } = clientAccounts;
  if (lakes === undefined || mills === undefined) {
    return t.fail();
  }
  runtime.configure({
    clientAccounts: {
      lakes: { ...lakes, borrowingLimitAccelerators: 8 },
      mills: { ...mills, borrowingWeight: 0 },
    },
  });
  runtime.submit(makeJob("first"));
  advance(runtime);
  runtime.submit(makeJob("second", { tasks: 2 }));
  runtime.submit(makeJob("other", { clientAccount: "mills" }));
  advance(runtime);
  t.is(runtime.core.jobView("first")?.phase, "running");
  t.is(waitReasonOf(runtime, "second"), "borrowingLimit");
  t.is(waitReasonOf(runtime, "other"), "fairShare");
});

test("client accounts borrow in proportion to their weights", (t) => {
  const runtime = makeRuntime();
  const { lakes, mills } = runtime.document.clientAccounts;
  if (lakes === undefined || mills === undefined) {
    return t.fail();
  }
  runtime.configure({
    clientAccounts: { lakes: { ...lakes, borrowingWeight: 3 }, mills },
  });
  for (let index = 0; index < 8; index++) {
    runtime.submit(makeJob(`lakes-${index}`));
    runtime.submit(makeJob(`mills-${index}`, { clientAccount: "mills" }));
  }
  advance(runtime);
  const running = runtime.core.jobs().filter(({ phase }) => phase === "running")
    .map(({ clientAccount }) => clientAccount);
  t.is(running.filter((name) => name === "lakes").length, 6);
  t.is(running.filter((name) => name === "mills").length, 2);
});
