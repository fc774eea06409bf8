import test from "ava";
import { RunEnd } from "../batch_command.ts";
import { PlannerWorld } from "./planner_fixture.ts";

test("a gang starts whole or not at all", (t) => {
  const world = new PlannerWorld({ workers: 2 });
  world.submit("a", { isGang: true, taskCount: 3, accelerators: 8 });
  t.deepEqual(world.plan().starts, []);
  world.addWorker("w3");
  const [start] = world.plan().starts;
  t.is(start?.tasks.length, 3);
});

test("independent tasks start as far as they fit", (t) => {
  const world = new PlannerWorld({ workers: 1 });
  world.submit("a", { taskCount: 12, accelerators: 1 });
  t.is(world.plan().starts[0]?.tasks.length, 8);
});

test("a step waits for the steps before it", (t) => {
  const world = new PlannerWorld({ workers: 1 });
  world.submitSteps("a", [{ taskCount: 1 }, { taskCount: 2, afterSteps: [0] }]);
  world.carryOut(world.plan());
  t.deepEqual(world.plan().starts, []);
  world.end("a", { step: 0, index: 0, how: RunEnd.done });
  t.is(world.plan().starts[0]?.step, 1);
});

test("nothing starts in a data centre that is out or on a leaving worker", (t) => {
  const world = new PlannerWorld({ workers: 2 });
  world.state.apply({ kind: "dataCentre", dataCentre: "east", isOut: true });
  world.submit("a", { taskCount: 1 });
  t.deepEqual(world.plan().starts, []);
  world.addWorker("w3", { dataCentre: "west", isDraining: true });
  t.deepEqual(world.plan().starts, []);
  world.addWorker("w4", { dataCentre: "west" });
  t.is(world.plan().starts[0]?.tasks[0]?.worker, "w4");
});

test("a guaranteed job makes room at once, and its stops aren't repeated", (t) => {
  const world = new PlannerWorld({ workers: 2, guaranteed: 8 });
  world.submit("bulk", { taskCount: 16, accelerators: 1, queue: "background" });
  world.carryOut(world.plan());
  world.submit("urgent", { taskCount: 1, accelerators: 8, queue: "urgent" });
  const first = world.plan();
  t.is(first.stops.length, 8);
  t.is(new Set(first.stops.map((task) => world.workerOf(task))).size, 1);
  world.noteStopping(first.stops);
  t.deepEqual(world.plan().stops, []);
});

test("room that is being made is nobody's until the stops are through", (t) => {
  const world = new PlannerWorld({ workers: 1, guaranteed: 8 });
  world.submit("bulk", { taskCount: 1, accelerators: 8, queue: "background" });
  world.carryOut(world.plan());
  world.submit("urgent", { taskCount: 1, accelerators: 4, queue: "urgent" });
  world.submit("other", { taskCount: 1, accelerators: 4, queue: "normal" });
  const first = world.plan();
  t.is(first.stops.length, 1);
  t.deepEqual(first.starts, [], "the worker is still full");
  world.noteStopping(first.stops);
  t.deepEqual(world.plan().starts, []);
  world.end("bulk", { step: 0, index: 0, how: RunEnd.stopped });
  const started = world.plan().starts.map(({ jobId }) => jobId);
  t.deepEqual(started, ["urgent", "other"]);
});

test("urgent work beyond its guarantee makes room only to be on time", (t) => {
  const world = new PlannerWorld({ workers: 1, guaranteed: 4 });
  world.submit("bulk", { taskCount: 8, accelerators: 1, queue: "background" });
  world.carryOut(world.plan());
  world.submit("urgent", { taskCount: 1, accelerators: 8, queue: "urgent" });
  const never = { stopsForAllUrgent: false };
  t.deepEqual(world.plan(never).stops, []);
  t.is(world.plan().stops.length, 8);
  world.nowMs += 60_000;
  t.deepEqual(world.plan().stops, []);
});

test("other work leaves room for urgent work while it can wait", (t) => {
  const world = new PlannerWorld({ workers: 2 });
  const reserve = {
    urgentReserveShare: 0.5,
    patienceShare: 0.5,
    urgentFloorShare: 0,
  };
  world.submit("first", { taskCount: 8, accelerators: 1 });
  world.carryOut(world.plan(reserve));
  world.submit("second", { taskCount: 1, accelerators: 4 });
  t.deepEqual(world.plan(reserve).starts, []);
  world.submit("urgent", { taskCount: 1, accelerators: 4, queue: "urgent" });
  t.is(world.plan(reserve).starts[0]?.jobId, "urgent");
  // Its slack is 3 s: an objective of 5 s for 2 s of work.
  world.nowMs += 2_000;
  t.true(world.plan(reserve).starts.some(({ jobId }) => jobId === "second"));
});

test("late work leaves the last room to urgent work", (t) => {
  const floor = { urgentReserveShare: 0.5, urgentFloorShare: 0.25 };
  const world = new PlannerWorld({ workers: 2 });
  world.submit("first", { taskCount: 12, accelerators: 1 });
  world.carryOut(world.plan());
  world.submit("late", { taskCount: 1, accelerators: 2 });
  world.nowMs += 60_000;
  t.deepEqual(world.plan(floor).starts, []);
  world.submit("urgent", { taskCount: 1, accelerators: 4, queue: "urgent" });
  t.deepEqual(world.plan(floor).starts.map(({ jobId }) => jobId), ["urgent"]);
  for (let index = 0; index < 6; index++) {
    world.end("first", { step: 0, index, how: RunEnd.done });
  }
  const started = world.plan(floor).starts.map(({ jobId }) => jobId);
  t.deepEqual(started, ["urgent", "late"]);
});

test("late work that needs the last room isn't kept from it for ever", (t) => {
  const floor = { urgentReserveShare: 0.5, urgentFloorShare: 0.25 };
  const world = new PlannerWorld({ workers: 2 });
  world.submit("wide", { taskCount: 2, accelerators: 8, isGang: true });
  world.nowMs += 60_000;
  t.is(world.plan(floor).starts[0]?.jobId, "wide");
  const calm = new PlannerWorld({ workers: 2 });
  calm.submit("lasting", { taskCount: 2, accelerators: 7, isLasting: true });
  calm.nowMs += 60_000;
  t.is(calm.plan(floor).starts[0]?.tasks.length, 2);
});

test("no room is kept where no urgent work can come", (t) => {
  const world = new PlannerWorld({ workers: 1, priorities: { normal: 1 } });
  world.submit("all", { taskCount: 8, accelerators: 1 });
  t.is(world.plan({}).starts[0]?.tasks.length, 8);
  world.carryOut(world.plan({}));
  world.end("all", { step: 0, index: 0, how: RunEnd.done });
  world.submit("last", { taskCount: 1, accelerators: 1 });
  t.is(world.plan({}).starts[0]?.jobId, "last");
});

test("small work fills one rack and leaves the other whole", (t) => {
  const world = new PlannerWorld({ workers: 2 });
  world.addWorker("w3", { rack: "r-2" });
  world.addWorker("w4", { rack: "r-2" });
  world.submit("a", { taskCount: 1, accelerators: 1 });
  world.carryOut(world.plan());
  world.submit("b", { taskCount: 10, accelerators: 1 });
  const [start] = world.plan().starts;
  const first = world.workerOf({
    jobId: "a",
    occurrence: 0,
    step: 0,
    index: 0,
  });
  const rackOf = (key: string) => world.state.workers.get(key)?.rack;
  t.deepEqual(
    [...new Set(start?.tasks.map(({ worker }) => rackOf(worker)))],
    [rackOf(first!)],
  );
});

test("what stops is what throws the least away, gangs counted whole", (t) => {
  const world = new PlannerWorld({ workers: 2, guaranteed: 8 });
  world.submit("gang", {
    taskCount: 2,
    accelerators: 4,
    isGang: true,
    queue: "background",
  });
  world.carryOut(world.plan());
  world.submit("single", {
    taskCount: 2,
    accelerators: 4,
    queue: "background",
  });
  world.nowMs += 1_000;
  world.carryOut(world.plan());
  world.nowMs += 1_000;
  world.submit("urgent", { taskCount: 2, accelerators: 4, queue: "urgent" });
  const { stops } = world.plan();
  t.deepEqual([...new Set(stops.map(({ jobId }) => jobId))], ["single"]);
});

test("a step stays near its data until it has waited for it", (t) => {
  const world = new PlannerWorld({ workers: 1 });
  world.addWorker("far", { rack: "r-2" });
  world.submit("first", { taskCount: 8, accelerators: 1, dataRack: "r-1" });
  world.carryOut(world.plan());
  world.submit("second", { taskCount: 1, accelerators: 1, dataRack: "r-1" });
  t.deepEqual(world.plan().starts, []);
  world.nowMs += 10_000;
  t.is(world.plan().starts[0]?.tasks[0]?.worker, "far");
});

test("a task isn't put back on the worker where it failed", (t) => {
  const world = new PlannerWorld({ workers: 2 });
  world.submit("a", { taskCount: 1, accelerators: 8 });
  const first = world.plan();
  world.carryOut(first);
  const failedOn = first.starts[0]!.tasks[0]!.worker;
  world.end("a", { step: 0, index: 0, how: RunEnd.failed });
  world.failedOn.add(failedOn);
  const [second] = world.plan().starts;
  t.is(second?.run, 2);
  t.not(second?.tasks[0]?.worker, failedOn);
});

test("jobs that can be on time go before those that can't", (t) => {
  const world = new PlannerWorld({ workers: 1 });
  world.submit("late", { taskCount: 1, accelerators: 8 });
  world.nowMs += 60_000;
  world.submit("fresh", { taskCount: 1, accelerators: 8 });
  t.is(world.plan().starts[0]?.jobId, "fresh");
});

test("an occurrence starts at its time and not before", (t) => {
  const world = new PlannerWorld({ workers: 1 });
  world.submit("timed", { taskCount: 1 }, {
    count: 2,
    firstAtMs: world.nowMs + 1_000,
    intervalMs: 5_000,
  });
  t.deepEqual(world.plan().starts, []);
  world.nowMs += 1_000;
  t.is(world.plan().starts.length, 1);
});

test("a gang that failed on every worker is tried again", (t) => {
  const world = new PlannerWorld({ workers: 2 });
  world.submit("a", { isGang: true, taskCount: 2, accelerators: 8 });
  world.carryOut(world.plan());
  world.failedOn.add("w1").add("w2");
  world.end("a", { step: 0, index: 0, how: RunEnd.failed });
  world.end("a", { step: 0, index: 1, how: RunEnd.broken });
  t.is(world.plan().starts[0]?.run, 2);
});

/** Two racks of two workers; a borrower's gang holds a worker of each. */
function crowdedRacks(): PlannerWorld {
  const world = new PlannerWorld({ workers: 0, guaranteed: 16 });
  for (const [key, rack] of [["a", 1], ["b", 1], ["c", 2], ["d", 2]] as const) {
    world.addWorker(key, { rack: `r-${rack}`, labels: ["a", `r-${rack}`] });
  }
  for (const job of ["lent-1", "lent-2", "lent-3"]) {
    world.submit(job, {
      taskCount: 1,
      accelerators: 8,
      isGang: true,
      queue: "urgent",
      account: "borrower",
    });
  }
  world.carryOut(world.plan());
  return world;
}

const COVERED_GANG = {
  taskCount: 2,
  accelerators: 8,
  isGang: true,
  prefersOneRack: true,
  queue: "urgent",
  estimateMs: 2_000,
} as const;

test("a guarantee is had from urgent work beyond anyone's guarantee", (t) => {
  const world = crowdedRacks();
  world.submit("covered", COVERED_GANG);
  t.deepEqual(world.plan().stops, [], "others may end by themselves yet");
  world.nowMs += 1_801;
  const first = world.plan();
  t.is(first.stops.length, 1, "one rack needs only one more worker");
  world.noteStopping(first.stops);
  first.stops.forEach(({ jobId }) =>
    world.end(jobId, { step: 0, index: 0, how: RunEnd.stopped })
  );
  t.is(world.plan().starts[0]?.jobId, "covered");
});

test("less urgent work makes room before urgent work does", (t) => {
  const world = crowdedRacks();
  world.submit("bulk", { taskCount: 1, accelerators: 8, queue: "background" });
  world.carryOut(world.plan());
  world.submit("covered", { ...COVERED_GANG, taskCount: 1 });
  t.deepEqual(world.plan().stops.map(({ jobId }) => jobId), ["bulk"]);
});

test("a covered gang starts spread rather than later than its guarantee", (t) => {
  const world = new PlannerWorld({ workers: 0, guaranteed: 32 });
  for (const [key, rack] of [["a", 1], ["b", 1], ["c", 2], ["d", 2]] as const) {
    world.addWorker(key, { rack: `r-${rack}`, labels: ["a", `r-${rack}`] });
  }
  for (const [job, dataRack] of [["one", "r-1"], ["two", "r-2"]] as const) {
    const place = { dataRack, queue: "urgent" } as const;
    world.submit(job, { taskCount: 1, accelerators: 8, ...place });
  }
  world.carryOut(world.plan());
  world.submit("covered", COVERED_GANG);
  const options = { urgentReserveShare: 0, guaranteeWaitMs: 1_800 };
  t.deepEqual(world.plan(options).starts, []);
  world.nowMs += 1_801;
  t.is(world.plan(options).starts[0]?.jobId, "covered");
});

test("while most workers are free nothing waits long for its rack", (t) => {
  const world = new PlannerWorld({ workers: 0 });
  for (const [key, rack] of [["a", 1], ["b", 2], ["c", 2], ["d", 2]] as const) {
    world.addWorker(key, { rack: `r-${rack}`, labels: ["a", `r-${rack}`] });
  }
  const near = { accelerators: 8, dataRack: "r-1", estimateMs: 11_000 };
  world.submit("first", near);
  world.carryOut(world.plan());
  world.submit("second", near);
  t.deepEqual(world.plan().starts, [], "its rack may be free soon");
  world.nowMs += 2_600;
  t.is(world.plan().starts[0]?.jobId, "second");
});

test("while the pool is busy a job waits for its rack", (t) => {
  const world = new PlannerWorld({ workers: 0 });
  for (const [key, rack] of [["a", 1], ["b", 2], ["c", 2], ["d", 2]] as const) {
    world.addWorker(key, { rack: `r-${rack}`, labels: ["a", `r-${rack}`] });
  }
  const near = { accelerators: 8, dataRack: "r-1", estimateMs: 11_000 };
  world.submit("first", near);
  world.submit("others", { taskCount: 2, accelerators: 8, dataRack: "r-2" });
  world.carryOut(world.plan());
  world.submit("second", near);
  world.nowMs += 2_600;
  t.deepEqual(world.plan().starts, []);
});
