import test from "ava";
import { FakeClock, SILENT_EVENT_LOG } from "../../../base/mod.ts";
import type { WorkerRecord } from "../batch_command.ts";
import { BATCH_TIMING } from "../batch_timing.ts";
import { PlannerFixture } from "../decisions/planner_fixture.ts";
import type { WorkerCalls } from "../worker_calls.ts";
import { WorkerLinks } from "./worker_links.ts";

const WORKERS = 30;

test("a new leader calls workers with runs first, and a few at a time", async (t) => {
  const { state } = new PlannerFixture({ workers: WORKERS });
  const calledKeys: string[] = [];
  const calls: Partial<WorkerCalls> = {
    lease: (worker: WorkerRecord) => {
      calledKeys.push(worker.key);
      return new Promise(() => undefined);
    },
  };
  const links = new WorkerLinks({
    state,
    clock: new FakeClock({ startMs: 1_000 }),
    calls: calls as WorkerCalls,
    events: SILENT_EVENT_LOG,
    timing: BATCH_TIMING,
    epoch: 1,
    mayLead: () => true,
    onReport: () => Promise.resolve(),
    onReached: () => undefined,
  });
  links.openKnown((key) => key === "w29" || key === "w30");
  t.true(calledKeys.length < WORKERS / 2);
  t.deepEqual(calledKeys.slice(0, 2), ["w29", "w30"]);
  // Until it is called, a worker counts as silent, not as absent.
  t.is(links.get("w28")?.isReachable, false);
  t.deepEqual(links.absentKeys(), []);
  // A worker that announces itself meanwhile is called at once.
  const announced = { ...state.workers.get("w1")!, key: "new", id: "new" };
  t.true(links.announce(announced));
  t.is(calledKeys.at(-1), "new");
  for (let turn = 0; turn < WORKERS; turn++) {
    await new Promise((done) => setImmediate(done));
  }
  t.is(new Set(calledKeys).size, WORKERS + 1);
  t.is(calledKeys.length, WORKERS + 1);
  links.close();
});
