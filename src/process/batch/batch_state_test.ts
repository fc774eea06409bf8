import test from "ava";
import { pack, unpack } from "msgpackr";
import { RunEnd } from "./batch_command.ts";
import type { WorkerRecord } from "./batch_command.ts";
import { BatchState } from "./batch_state.ts";
import { PlannerFixture } from "./decisions/planner_fixture.ts";

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
