import test from "ava";
import {
  fill,
  makeJob,
  makeWorld,
  MINUTE_MS,
  ofKind,
  reasonOf,
  run,
} from "./testing/small_world.ts";
import { DATA_CENTRE } from "./testing/test_document.ts";
import { settle } from "./testing/settle.ts";

test("a job waits with a reason when it could fit later", (t) => {
  const world = makeWorld();
  world.setStatus("out");
  world.submit(makeJob("later"));
  t.is(reasonOf(world, "later"), "dataCentreOut");
  t.deepEqual(ofKind(world, "startGang"), []);
});

test("a data centre taken out checkpoints and stops within its time", (t) => {
  const world = makeWorld();
  fill(world, { canCheckpoint: true });
  world.endJob("fill-0", { fails: false });
  world.submit(makeJob("fixed", { canCheckpoint: false }));
  run(world);
  const outAtMs = world.nowMs;
  world.setStatus("out");
  run(world, 100_000);
  const stops = ofKind(world, "stopGang");
  t.is(stops.length, 8);
  for (const stop of stops) {
    t.is(stop.reason, "drained");
    t.true(stop.checkpointDeadlineMs <= outAtMs + 120_000);
  }
  t.is(reasonOf(world, "fixed"), "dataCentreOut");
  t.is(world.core.metrics().liveGangs, 0);
});

test("work flows back step by step after a return", (t) => {
  const world = makeWorld();
  world.setStatus("out");
  for (let at = 0; at < 8; at++) {
    world.submit(makeJob(`job-${at}`));
  }
  world.setStatus("in");
  const live: number[] = [];
  for (let minute = 0; minute < 5; minute++) {
    run(world, 30_000);
    t.true(world.core.metrics().liveGangs <= 2 * minute + 2);
    run(world, 30_000);
    live.push(world.core.metrics().liveGangs);
  }
  t.true((live[0] ?? 0) < 8);
  t.is(live[4], 8);
  t.deepEqual(world.broken, []);
});

test("nothing starts without permission", (t) => {
  const world = makeWorld();
  world.tick(2 * MINUTE_MS);
  world.submit(makeJob("job", { jobClass: "urgent" }));
  world.tick(100);
  t.is(reasonOf(world, "job"), "startPermission");
  t.deepEqual(ofKind(world, "startGang"), []);
  run(world);
  t.is(world.core.jobView("job")?.phase, "running");
});

test("a deadline ends a job that waits and one that runs", (t) => {
  const world = makeWorld();
  fill(world, { deadlineMs: world.nowMs + MINUTE_MS });
  world.submit(makeJob("late", { deadlineMs: world.nowMs + 1_000 }));
  run(world, 2_000);
  t.is(world.core.jobView("late")?.outcome, "deadlinePassed");
  run(world, MINUTE_MS);
  t.is(world.core.jobView("fill-0")?.outcome, "deadlinePassed");
  t.is(world.core.metrics().liveGangs, 0);
});

test("a new leader takes running gangs over and starts nothing early", (t) => {
  const world = makeWorld();
  fill(world, {});
  world.submit(makeJob("next"));
  world.changeLeader({ startsArrive: true });
  t.true(world.core.isRecovering);
  t.is(reasonOf(world, "next"), "recovering");
  world.permit(MINUTE_MS);
  world.tick(100);
  t.false(world.core.isRecovering);
  t.is(world.core.metrics().liveGangs, 8);
  t.is(world.core.jobView("fill-0")?.attempt, 1);
  settle(world);
  t.deepEqual(world.broken, []);
});

test("tasks that the leader had given up are stopped on return", (t) => {
  const world = makeWorld();
  world.submit(makeJob("job"));
  run(world);
  const workerId = world.core.jobView("job")?.placements[0]?.workerId ?? "";
  world.lose(workerId, { leavesZombies: true });
  run(world, 2_000);
  t.is(world.core.jobView("job")?.attempt, 2);
  world.join(workerId);
  const stops = ofKind(world, "stopGang");
  t.deepEqual(stops.map(({ attempt, reason }) => [attempt, reason]), [
    [1, "gangBroken"],
  ]);
  t.is(world.core.jobView("job")?.phase, "running");
});

test("a job of another data centre is refused, a resubmission is not", (t) => {
  const world = makeWorld();
  world.submit(makeJob("away", { dataCentres: ["howrah"] }));
  world.submit(makeJob("here", { dataCentres: [DATA_CENTRE] }));
  world.submit(makeJob("here", { dataCentres: [DATA_CENTRE] }));
  run(world);
  t.is(world.core.jobView("away")?.outcome, "refused");
  t.is(ofKind(world, "startGang").length, 1);
});
