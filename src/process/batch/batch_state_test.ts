import test from "ava";
import { pack, unpack } from "msgpackr";
import { RunEnd } from "./batch_command.ts";
import type { WorkerRecord } from "./batch_command.ts";
import { BatchState } from "./batch_state.ts";
import { PlannerFixture } from "./decisions/planner_fixture.ts";
import type { QueueConfiguration } from "./pool_configuration.ts";

const LOST = "reported before the worker was lost";
const STOPPED = "saved at the stop";

function startGang(): PlannerFixture {
  const fixture = new PlannerFixture({ workers: 2 });
  fixture.submit("a", { isGang: true, taskCount: 2, accelerators: 8 });
  fixture.applyStarts(fixture.plan());
  return fixture;
}

function endMember(
  fixture: PlannerFixture,
  index: number,
  end: { how: RunEnd; checkpoint: string; run?: number },
): void {
  const { how, checkpoint, run = 1 } = end;
  const task = { jobId: "a", occurrence: 0, step: 0, index };
  fixture.state.apply({
    kind: "batch",
    epoch: 1,
    atMs: fixture.nowMs,
    items: [{ kind: "end", task, run, how, checkpoint }],
  });
}

function checkpoints(fixture: PlannerFixture): (string | undefined)[] {
  return [0, 1].map((index) =>
    fixture.state.taskOf({ jobId: "a", occurrence: 0, step: 0, index })
      ?.checkpoint
  );
}

test("a gang resumes from the last reported checkpoint of a lost run", (t) => {
  const fixture = startGang();
  endMember(fixture, 1, { how: RunEnd.lost, checkpoint: LOST });
  t.deepEqual(checkpoints(fixture), [LOST, LOST]);
});

test("a checkpoint saved at a run's end wins over one of a lost run, in any order", (t) => {
  const lostLast = startGang();
  endMember(lostLast, 0, { how: RunEnd.stopped, checkpoint: STOPPED });
  endMember(lostLast, 1, { how: RunEnd.lost, checkpoint: LOST });
  t.deepEqual(checkpoints(lostLast), [STOPPED, STOPPED]);
  const lostFirst = startGang();
  endMember(lostFirst, 1, { how: RunEnd.lost, checkpoint: LOST });
  endMember(lostFirst, 0, { how: RunEnd.stopped, checkpoint: STOPPED });
  t.deepEqual(checkpoints(lostFirst), [STOPPED, STOPPED]);
});

test("a cancelled job stays live until its last run has ended", (t) => {
  const fixture = startGang();
  fixture.state.apply({
    kind: "batch",
    epoch: 1,
    atMs: fixture.nowMs,
    items: [{ kind: "cancel", jobId: "a" }],
  });
  t.true(fixture.state.liveJobs.has("a"));
  endMember(fixture, 0, { how: RunEnd.stopped, checkpoint: "" });
  t.true(fixture.state.liveJobs.has("a"));
  endMember(fixture, 1, { how: RunEnd.stopped, checkpoint: "" });
  t.false(fixture.state.liveJobs.has("a"));
  t.true(fixture.state.jobs.has("a"));
});

// Guards against an odd record that was stored before records were checked: under
// a live worker's ID it would keep that one out for good.
test("odd records of workers aren't restored, and the others are", (t) => {
  const { state } = new PlannerFixture({ workers: 2 });
  const snapshot = unpack(state.snapshot()) as { workers: WorkerRecord[] };
  const odd = [
    { bornMs: 1e300 },
    { bornMs: "2" },
    { address: "10.0.0.1:70000" },
    { address: undefined },
    { capacity: undefined },
    { capacity: { cpuMilli: NaN, memoryMb: 1, accelerators: 1 } },
    { labels: [[]] },
  ].map((fields, at) => ({
    ...snapshot.workers[0]!,
    ...fields,
    key: `w1@odd${at}`,
  }));
  const restored = new BatchState();
  restored.restore(
    pack({ ...snapshot, workers: [...odd, ...snapshot.workers] }),
  ).unsafeCoerce();
  t.deepEqual([...restored.workers.keys()], ["w1", "w2"]);
  t.deepEqual(restored.conflictingWorkers(snapshot.workers[0]!), []);
});

/** Puts a version in force whose queues are those given. */
function reconfigure(
  { state }: PlannerFixture,
  queues: readonly QueueConfiguration[],
): void {
  const { configuration } = state.inForce!.index;
  const version = configuration.version + 1;
  state.apply({
    kind: "configure",
    document: "",
    configuration: { ...configuration, version, queues },
  });
}

// Guards against accepted jobs that wait for good after their route has gone.
for (const change of ["another name", "no successor"]) {
  test(`jobs of a queue that a version gives ${change} are still started`, (t) => {
    const fixture = new PlannerFixture({ workers: 1 });
    const { state } = fixture;
    fixture.submit("a", { taskCount: 1 });
    const queues = state.inForce!.index.configuration.queues;
    const own = queues.find(({ name }) => name === state.jobs.get("a")!.queue)!;
    const others = queues.filter((queue) => queue !== own);
    const isRenamed = change === "another name";
    const renamed = { ...own, name: "renamed", attempts: own.attempts + 1 };
    reconfigure(fixture, isRenamed ? [...others, renamed] : others);
    const restored = new BatchState();
    restored.restore(state.snapshot()).unsafeCoerce();
    for (const { inForce, jobs } of [state, restored]) {
      const queue = inForce!.index.queueNamed(jobs.get("a")!.queue);
      t.deepEqual(queue, isRenamed ? renamed : own);
    }
    t.is(
      state.inForce!.index.queueAt(own.host, own.prefix)?.name,
      isRenamed ? "renamed" : undefined,
    );
    t.is(fixture.plan().starts.length, 1);
    // The next version keeps what its jobs still need.
    reconfigure(fixture, others);
    t.is(fixture.plan().starts.length, 1);
  });
}

test("a dropped queue is forgotten with its last job", (t) => {
  const fixture = new PlannerFixture({ workers: 1 });
  const { state } = fixture;
  fixture.submit("a", { taskCount: 1 });
  const { queue } = state.jobs.get("a")!;
  const others = state.inForce!.index.configuration.queues.filter(({ name }) =>
    name !== queue
  );
  reconfigure(fixture, others);
  t.not(state.inForce!.index.queueNamed(queue), undefined);
  state.apply({
    kind: "batch",
    epoch: 1,
    atMs: fixture.nowMs,
    items: [{ kind: "cancel", jobId: "a" }],
  });
  reconfigure(fixture, others);
  t.is(state.inForce!.index.queueNamed(queue), undefined);
});

// Guards against an old order that takes effect after a restart.
test("a restored state refuses an order made before a newer one", (t) => {
  const order = {
    kind: "dataCentre",
    dataCentre: "east",
    revision: 0,
  } as const;
  const state = new BatchState();
  state.apply({ ...order, isOut: true });
  const restored = new BatchState();
  t.true(restored.restore(state.snapshot()).isRight());
  t.is(restored.apply({ ...order, isOut: false }).kind, "superseded");
  t.deepEqual([...restored.dataCentresOut], ["east"]);
});
