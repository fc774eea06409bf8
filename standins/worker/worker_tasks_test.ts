import test from "ava";
import { FakeClock } from "../../src/base/fake_clock.ts";
import type { WorkerCommand } from "../../src/process/scheduler/runtime/worker_command.ts";
import { WorkerTasks } from "./worker_tasks.ts";
import type { OmittedFence, TaskEvent } from "./worker_types.ts";

type Body = WorkerCommand extends infer Command
  ? Command extends WorkerCommand ? Omit<Command, "fence"> : never
  : never;

const RESOURCES = { cores: 1, memoryBytes: 1, accelerators: 2 };

function makeWorker(omittedFences: readonly OmittedFence[] = []) {
  const clock = new FakeClock({ startMs: 1_000 });
  const happenings: TaskEvent[] = [];
  const worker = new WorkerTasks({
    clock,
    workerId: "w1",
    capacity: { rack: "r1", cores: 8, memoryBytes: 8, accelerators: 4 },
    incarnation: 7,
    onTaskEvent: (happening) => happenings.push(happening),
    omittedFences,
  });
  const tell = (
    body: Body,
    fence: { term?: number; incarnation?: number; validForMs?: number } = {},
  ) =>
    worker.handle({
      ...body,
      fence: {
        protocolVersion: 1,
        term: fence.term ?? 3,
        incarnation: fence.incarnation ?? 7,
        validUntilMs: clock.nowMs() + (fence.validForMs ?? 100),
      },
    } as WorkerCommand);
  const reserve = (attempt: number, taskIndexes: number[] = [0]) => ({
    kind: "reserve" as const,
    jobId: "j1",
    attempt,
    taskIndexes,
    resources: RESOURCES,
    command: ["run", "5000"],
    reservationEndMs: clock.nowMs() + 1_000,
  });
  const start = (attempt: number): Body => ({
    kind: "start",
    jobId: "j1",
    attempt,
    leaseEndMs: clock.nowMs() + 2_000,
  });
  const starts = () =>
    happenings.filter((happening) => happening.kind === "started").length;
  return { clock, worker, happenings, tell, reserve, start, starts };
}

test("a lower term is refused once a higher one was seen", (t) => {
  const { tell, reserve, start, starts } = makeWorker();
  tell(reserve(1), { term: 4 });
  t.is(tell(start(1), { term: 3 }).refusal, "staleTerm");
  t.is(tell(start(1), { term: 5 }).refusal, "unknownAttempt");
  t.is(starts(), 0);
  const unfenced = makeWorker(["term"]);
  unfenced.tell(unfenced.reserve(1), { term: 3 });
  unfenced.tell({ kind: "renew", leases: [], forget: [] }, { term: 4 });
  t.is(unfenced.tell(unfenced.start(1), { term: 3 }).refusal, undefined);
});

test("a command after its validity is refused", (t) => {
  const { clock, tell, reserve, start, starts } = makeWorker();
  tell(reserve(1));
  t.is(tell(start(1), { validForMs: -1 }).refusal, "late");
  t.is(starts(), 0);
  const unfenced = makeWorker(["late"]);
  unfenced.tell(unfenced.reserve(1));
  t.is(unfenced.tell(unfenced.start(1), { validForMs: -1 }).refusal, undefined);
  t.is(unfenced.starts(), 1);
  clock.advance(1);
});

test("a command for another incarnation is refused", (t) => {
  const { tell, reserve } = makeWorker();
  t.is(tell(reserve(1), { incarnation: 6 }).refusal, "otherIncarnation");
});

test("nothing of a released attempt starts, however messages cross", (t) => {
  const { tell, reserve, start, starts } = makeWorker();
  tell({ kind: "release", jobId: "j1", attempt: 2 });
  t.is(tell(reserve(2)).refusal, "releasedAttempt");
  t.is(tell(start(2)).refusal, "releasedAttempt");
  t.is(starts(), 0);
  const unfenced = makeWorker(["released"]);
  unfenced.tell({ kind: "release", jobId: "j1", attempt: 2 });
  unfenced.tell(unfenced.reserve(2));
  unfenced.tell(unfenced.start(2));
  t.is(unfenced.starts(), 1);
});

test("doubled reservations and starts run one task", (t) => {
  const { tell, reserve, start, starts } = makeWorker();
  tell(reserve(1));
  tell(reserve(1));
  tell(start(1));
  tell(start(1));
  tell(reserve(1));
  t.is(starts(), 1);
});

test("a task whose lease isn't renewed is stopped by the worker", (t) => {
  const { clock, tell, reserve, start, happenings } = makeWorker();
  tell(reserve(1));
  tell(start(1));
  clock.advance(1_500);
  const leaseEndMs = clock.nowMs() + 2_000;
  tell({
    kind: "renew",
    leases: [{ jobId: "j1", attempt: 1, leaseEndMs }],
    forget: [],
  });
  clock.advance(1_999);
  t.is(happenings.length, 1);
  clock.advance(1);
  t.like(happenings[1], { kind: "ended", outcome: "lost" });
  const unfenced = makeWorker(["lease"]);
  unfenced.tell(unfenced.reserve(1));
  unfenced.tell(unfenced.start(1));
  unfenced.clock.advance(5_000);
  t.like(unfenced.happenings[1], { kind: "ended", outcome: "succeeded" });
});

test("a reservation ends by itself and frees its room", (t) => {
  const { clock, tell, reserve, start } = makeWorker();
  t.is(tell(reserve(1, [0, 1])).refusal, undefined);
  const other = { ...reserve(1), jobId: "j2" };
  t.is(tell(other).refusal, "noRoom");
  clock.advance(1_000);
  t.is(tell(start(1)).refusal, "unknownAttempt");
  t.is(tell({ ...other, reservationEndMs: 9_000 }).refusal, undefined);
});

test("no attempt is reserved while an earlier one of its job runs", (t) => {
  const { tell, reserve, start } = makeWorker();
  tell(reserve(1));
  tell(start(1));
  t.is(tell(reserve(2)).refusal, "earlierAttemptRuns");
});

test("a stop waits for the checkpoint when there is time for one", (t) => {
  for (const timeMs of [200, 10]) {
    const { clock, tell, reserve, start, happenings } = makeWorker();
    tell(reserve(1));
    tell(start(1));
    tell({
      kind: "stop",
      jobId: "j1",
      attempt: 1,
      wantsCheckpoint: true,
      checkpointDeadlineMs: clock.nowMs() + timeMs,
    });
    clock.advance(200);
    const outcome = timeMs === 200 ? "checkpointed" : "stopped";
    t.like(happenings[1], { kind: "ended", outcome });
  }
});

test("faults bend sizes, run times and outcomes", (t) => {
  const { clock, worker, tell, reserve, start, happenings } = makeWorker();
  worker.setFaults({
    failsEveryTask: true,
    slowMs: 0,
    isSilent: false,
    sizeFactor: 3,
    runTimeFactor: 0.1,
  });
  tell(reserve(1));
  tell(start(1));
  worker.report("127.0.0.1:1");
  clock.advance(499);
  t.deepEqual(worker.report("127.0.0.1:1").usages, []);
  clock.advance(1);
  t.like(happenings[1], { kind: "ended", outcome: "failed" });
  clock.advance(1_500);
  t.like(worker.report("127.0.0.1:1").usages[0], { cores: 3 });
});
