import test from "ava";
import { settle } from "./testing/settle.ts";
import { DATA_CENTRE } from "./testing/test_document.ts";
import {
  advance,
  decisionsOfKind,
  fillWorkers,
  makeJob,
  makeRuntime,
  MINUTE_MS,
  waitReasonOf,
} from "./testing/test_runtime.ts";

test("a job submitted while the data centre is out waits for that reason", (t) => {
  const runtime = makeRuntime();
  runtime.setStatus("out");
  runtime.submit(makeJob("later"));
  t.is(waitReasonOf(runtime, "later"), "dataCentreOut");
  t.deepEqual(decisionsOfKind(runtime, "startGang"), []);
});

test("a data centre taken out stops its gangs within its drain time", (t) => {
  const runtime = makeRuntime();
  fillWorkers(runtime, { canCheckpoint: true });
  runtime.endJob("fill-0", { fails: false });
  runtime.submit(makeJob("fixed", { canCheckpoint: false }));
  advance(runtime);
  const outAtMs = runtime.nowMs;
  runtime.setStatus("out");
  advance(runtime, 100_000);
  const stops = decisionsOfKind(runtime, "stopGang");
  t.is(stops.length, 8);
  for (const stop of stops) {
    t.is(stop.reason, "drained");
    t.true(stop.checkpointDeadlineMs <= outAtMs + 120_000);
  }
  t.is(waitReasonOf(runtime, "fixed"), "dataCentreOut");
  t.is(runtime.core.metrics().liveGangs, 0);
});

test("jobs start gradually after a data centre returns", (t) => {
  const runtime = makeRuntime();
  runtime.setStatus("out");
  for (let index = 0; index < 8; index++) {
    runtime.submit(makeJob(`job-${index}`));
  }
  runtime.setStatus("in");
  const live: number[] = [];
  for (let minute = 0; minute < 5; minute++) {
    advance(runtime, 30_000);
    t.true(runtime.core.metrics().liveGangs <= 2 * minute + 2);
    advance(runtime, 30_000);
    live.push(runtime.core.metrics().liveGangs);
  }
  t.true((live[0] ?? 0) < 8);
  t.is(live[4], 8);
  t.deepEqual(runtime.violations, []);
});

test("nothing starts without permission", (t) => {
  const runtime = makeRuntime();
  runtime.tick(2 * MINUTE_MS);
  runtime.submit(makeJob("job", { jobClass: "urgent" }));
  runtime.tick(100);
  t.is(waitReasonOf(runtime, "job"), "startPermission");
  t.deepEqual(decisionsOfKind(runtime, "startGang"), []);
  advance(runtime);
  t.is(runtime.core.jobView("job")?.phase, "running");
});

test("a deadline ends waiting and running jobs", (t) => {
  const runtime = makeRuntime();
  fillWorkers(runtime, { deadlineMs: runtime.nowMs + MINUTE_MS });
  runtime.submit(makeJob("late", { deadlineMs: runtime.nowMs + 1_000 }));
  advance(runtime, 2_000);
  t.is(runtime.core.jobView("late")?.outcome, "deadlinePassed");
  advance(runtime, MINUTE_MS);
  t.is(runtime.core.jobView("fill-0")?.outcome, "deadlinePassed");
  t.is(runtime.core.metrics().liveGangs, 0);
});

test("a new leader adopts running gangs and starts nothing before that", (t) => {
  const runtime = makeRuntime();
  fillWorkers(runtime, {});
  runtime.submit(makeJob("next"));
  runtime.changeLeader({ startsArrive: true });
  t.true(runtime.core.isRecovering);
  t.is(waitReasonOf(runtime, "next"), "recovering");
  runtime.permit(MINUTE_MS);
  runtime.tick(100);
  t.false(runtime.core.isRecovering);
  t.is(runtime.core.metrics().liveGangs, 8);
  t.is(runtime.core.jobView("fill-0")?.attempt, 1);
  settle(runtime);
  t.deepEqual(runtime.violations, []);
});

test("tasks of an abandoned attempt are stopped when their worker returns", (t) => {
  const runtime = makeRuntime();
  runtime.submit(makeJob("job"));
  advance(runtime);
  const workerId = runtime.core.jobView("job")?.placements[0]?.workerId ?? "";
  runtime.lose(workerId, { leavesStaleTasks: true });
  advance(runtime, 2_000);
  t.is(runtime.core.jobView("job")?.attempt, 2);
  runtime.join(workerId);
  const stops = decisionsOfKind(runtime, "stopGang");
  t.deepEqual(stops.map(({ attempt, reason }) => [attempt, reason]), [
    [1, "gangBroken"],
  ]);
  t.is(runtime.core.jobView("job")?.phase, "running");
});

test("a job for another data centre is refused, a resubmission ignored", (t) => {
  const runtime = makeRuntime();
  runtime.submit(makeJob("away", { dataCentres: ["howrah"] }));
  runtime.submit(makeJob("here", { dataCentres: [DATA_CENTRE] }));
  runtime.submit(makeJob("here", { dataCentres: [DATA_CENTRE] }));
  advance(runtime);
  t.is(runtime.core.jobView("away")?.outcome, "refused");
  t.is(decisionsOfKind(runtime, "startGang").length, 1);
});
