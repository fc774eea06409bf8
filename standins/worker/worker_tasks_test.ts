import test from "ava";
import { FakeClock } from "../../src/base/fake_clock.ts";
import type { WorkerCommand } from "../../src/process/scheduler/runtime/worker_command.ts";
import { WorkerTasks } from "./worker_tasks.ts";
import type { OmittedFence, TaskEvent } from "./worker_types.ts";

type CommandBody = WorkerCommand extends infer Command
  ? Command extends WorkerCommand ? Omit<Command, "fence"> : never
  : never;

const RESOURCES = { cores: 1, memoryBytes: 1, accelerators: 2 };

function makeWorker(omittedFences: readonly OmittedFence[] = []) {
  const clock = new FakeClock({ startMs: 1_000 });
  const events: TaskEvent[] = [];
  const worker = new WorkerTasks({
    clock,
    workerId: "w1",
    capacity: { rack: "r1", cores: 8, memoryBytes: 8, accelerators: 4 },
    incarnation: 7,
    onTaskEvent: (event) => events.push(event),
    omittedFences,
  });
  const send = (
    body: CommandBody,
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
  const start = (attempt: number): CommandBody => ({
    kind: "start",
    jobId: "j1",
    attempt,
    leaseEndMs: clock.nowMs() + 2_000,
  });
  const starts = () =>
    events.filter((event) => event.kind === "started").length;
  return { clock, worker, events, send, reserve, start, starts };
}

test("a command of a lower term is refused after one of a higher term", (t) => {
  const { send, reserve, start, starts } = makeWorker();
  send(reserve(1), { term: 4 });
  t.is(send(start(1), { term: 3 }).refusal, "staleTerm");
  t.is(send(start(1), { term: 5 }).refusal, "unknownAttempt");
  t.is(starts(), 0);
  const unfenced = makeWorker(["term"]);
  unfenced.send(unfenced.reserve(1), { term: 3 });
  unfenced.send({ kind: "renew", leases: [], forget: [] }, { term: 4 });
  t.is(unfenced.send(unfenced.start(1), { term: 3 }).refusal, undefined);
});

test("a command that arrives after its validity ended is refused", (t) => {
  const { clock, send, reserve, start, starts } = makeWorker();
  send(reserve(1));
  t.is(send(start(1), { validForMs: -1 }).refusal, "late");
  t.is(starts(), 0);
  const unfenced = makeWorker(["late"]);
  unfenced.send(unfenced.reserve(1));
  t.is(unfenced.send(unfenced.start(1), { validForMs: -1 }).refusal, undefined);
  t.is(unfenced.starts(), 1);
  clock.advance(1);
});

test("a command for another incarnation is refused", (t) => {
  const { send, reserve } = makeWorker();
  t.is(send(reserve(1), { incarnation: 6 }).refusal, "otherIncarnation");
});

test("commands that arrive after their attempt was released start nothing", (t) => {
  const { send, reserve, start, starts } = makeWorker();
  send({ kind: "release", jobId: "j1", attempt: 2 });
  t.is(send(reserve(2)).refusal, "releasedAttempt");
  t.is(send(start(2)).refusal, "releasedAttempt");
  t.is(starts(), 0);
  const unfenced = makeWorker(["released"]);
  unfenced.send({ kind: "release", jobId: "j1", attempt: 2 });
  unfenced.send(unfenced.reserve(2));
  unfenced.send(unfenced.start(2));
  t.is(unfenced.starts(), 1);
});

test("duplicate reservations and starts run one task", (t) => {
  const { send, reserve, start, starts } = makeWorker();
  send(reserve(1));
  send(reserve(1));
  send(start(1));
  send(start(1));
  send(reserve(1));
  t.is(starts(), 1);
});

test("the worker ends a task whose lease expires", (t) => {
  const { clock, send, reserve, start, events } = makeWorker();
  send(reserve(1));
  send(start(1));
  clock.advance(1_500);
  const leaseEndMs = clock.nowMs() + 2_000;
  send({
    kind: "renew",
    leases: [{ jobId: "j1", attempt: 1, leaseEndMs }],
    forget: [],
  });
  clock.advance(1_999);
  t.is(events.length, 1);
  clock.advance(1);
  t.like(events[1], { kind: "ended", outcome: "lost" });
  const unfenced = makeWorker(["lease"]);
  unfenced.send(unfenced.reserve(1));
  unfenced.send(unfenced.start(1));
  unfenced.clock.advance(5_000);
  t.like(unfenced.events[1], { kind: "ended", outcome: "succeeded" });
});

test("a reservation expires and frees its capacity", (t) => {
  const { clock, send, reserve, start } = makeWorker();
  t.is(send(reserve(1, [0, 1])).refusal, undefined);
  const other = { ...reserve(1), jobId: "j2" };
  t.is(send(other).refusal, "noRoom");
  clock.advance(1_000);
  t.is(send(start(1)).refusal, "unknownAttempt");
  t.is(send({ ...other, reservationEndMs: 9_000 }).refusal, undefined);
});

test("no attempt is reserved while an earlier one of its job runs", (t) => {
  const { send, reserve, start } = makeWorker();
  send(reserve(1));
  send(start(1));
  t.is(send(reserve(2)).refusal, "earlierAttemptRuns");
});

test("a stop waits for the checkpoint if there is time for one", (t) => {
  for (const timeMs of [200, 10]) {
    const { clock, send, reserve, start, events } = makeWorker();
    send(reserve(1));
    send(start(1));
    send({
      kind: "stop",
      jobId: "j1",
      attempt: 1,
      wantsCheckpoint: true,
      checkpointDeadlineMs: clock.nowMs() + timeMs,
    });
    clock.advance(200);
    const outcome = timeMs === 200 ? "checkpointed" : "stopped";
    t.like(events[1], { kind: "ended", outcome });
  }
});

test("faults change usage, run times and outcomes", (t) => {
  const { clock, worker, send, reserve, start, events } = makeWorker();
  worker.setFaults({
    failsEveryTask: true,
    slowMs: 0,
    isSilent: false,
    sizeFactor: 3,
    runTimeFactor: 0.1,
  });
  send(reserve(1));
  send(start(1));
  worker.report("127.0.0.1:1");
  clock.advance(499);
  t.deepEqual(worker.report("127.0.0.1:1").usages, []);
  clock.advance(1);
  t.like(events[1], { kind: "ended", outcome: "failed" });
  clock.advance(1_500);
  t.like(worker.report("127.0.0.1:1").usages[0], { cores: 3 });
});
