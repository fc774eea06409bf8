import test from "ava";
import { RunEnd } from "./batch_command.ts";
import { PlannerWorld } from "./decisions/planner_fixture.ts";

const LOST = "heard of before the worker was lost";
const STOPPED = "saved at the stop";

function startGang(): PlannerWorld {
  const world = new PlannerWorld({ workers: 2 });
  world.submit("a", { isGang: true, taskCount: 2, accelerators: 8 });
  world.carryOut(world.plan());
  return world;
}

function endMember(
  world: PlannerWorld,
  index: number,
  end: { how: RunEnd; checkpoint: string; run?: number },
): void {
  const { how, checkpoint, run = 1 } = end;
  const task = { jobId: "a", occurrence: 0, step: 0, index };
  world.state.apply({
    kind: "batch",
    epoch: 1,
    atMs: world.nowMs,
    items: [{ kind: "end", task, run, how, checkpoint }],
  });
}

function checkpoints(world: PlannerWorld): (string | undefined)[] {
  return [0, 1].map((index) =>
    world.state.taskOf({ jobId: "a", occurrence: 0, step: 0, index })
      ?.checkpoint
  );
}

test("a gang keeps what was last heard of a member that is lost", (t) => {
  const world = startGang();
  endMember(world, 1, { how: RunEnd.lost, checkpoint: LOST });
  t.deepEqual(checkpoints(world), [LOST, LOST]);
});

test("what a member saved at its end counts more than what was heard", (t) => {
  const lostLast = startGang();
  endMember(lostLast, 0, { how: RunEnd.stopped, checkpoint: STOPPED });
  endMember(lostLast, 1, { how: RunEnd.lost, checkpoint: LOST });
  t.deepEqual(checkpoints(lostLast), [STOPPED, STOPPED]);
  const lostFirst = startGang();
  endMember(lostFirst, 1, { how: RunEnd.lost, checkpoint: LOST });
  endMember(lostFirst, 0, { how: RunEnd.stopped, checkpoint: STOPPED });
  t.deepEqual(checkpoints(lostFirst), [STOPPED, STOPPED]);
});

test("only live jobs are planned with, and a job lives while it runs", (t) => {
  const world = startGang();
  world.state.apply({
    kind: "batch",
    epoch: 1,
    atMs: world.nowMs,
    items: [{ kind: "cancel", jobId: "a" }],
  });
  t.true(world.state.liveJobs.has("a"));
  endMember(world, 0, { how: RunEnd.stopped, checkpoint: "" });
  t.true(world.state.liveJobs.has("a"));
  endMember(world, 1, { how: RunEnd.stopped, checkpoint: "" });
  t.false(world.state.liveJobs.has("a"));
  t.true(world.state.jobs.has("a"));
});
