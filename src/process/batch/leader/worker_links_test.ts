import test, { type ExecutionContext } from "ava";
import { Right } from "purify-ts/Either";
import { FakeClock, SILENT_EVENT_LOG } from "../../../base/mod.ts";
import { workerKeyOf, type WorkerRecord } from "../batch_command.ts";
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

/** Links whose calls are answered with the given start of a process. */
function answeredLinks(t: ExecutionContext) {
  const { state, nowMs } = new PlannerFixture({ workers: 1 });
  const base = [...state.workers.values()][0]!;
  const clock = new FakeClock({ startMs: nowMs });
  const fences: number[] = [];
  let bornAtAddressMs = 0;
  const calls: Partial<WorkerCalls> = {
    lease: async (_, { fence }) => {
      fences.push(fence);
      await new Promise<void>((done) => void clock.after(10, done));
      return Right({
        clockMs: 1,
        bornMs: bornAtAddressMs,
        running: [],
        ended: [],
        isComplete: true,
      });
    },
  };
  const links = new WorkerLinks({
    state,
    clock,
    calls: calls as WorkerCalls,
    events: SILENT_EVENT_LOG,
    timing: BATCH_TIMING,
    epoch: 1,
    mayLead: () => true,
    onReport: () => Promise.resolve(),
    onReached: () => undefined,
  });
  t.teardown(() => links.close());
  return {
    links,
    fences,
    announce: (id: string, bornMs: number) => {
      const key = workerKeyOf(id, bornMs);
      const worker = { ...base, key, id, bornMs };
      state.apply({
        kind: "batch",
        epoch: state.epoch,
        atMs: nowMs,
        items: [{ kind: "worker", worker }],
      });
      links.announce(worker);
      return worker;
    },
    /** Lets the process with this start answer for a while. */
    answer: async (bornMs: number) => {
      bornAtAddressMs = bornMs;
      for (let step = 0; step < 100; step++) {
        clock.advance(10);
        await new Promise((done) => setImmediate(done));
      }
    },
  };
}

for (const id of ["w", "another"]) {
  test(`only an answer makes ${id} the successor at an address`, async (t) => {
    const { links, fences, announce, answer } = answeredLinks(t);
    const first = announce("w", 1_000);
    await answer(1_000);
    const fence = fences.at(-1)!;
    const next = announce(id, 2_000);
    // It gets no starts until it has answered once more.
    t.false(links.get(first.key)?.isReachable);
    await answer(1_000);
    t.is(links.successorOf(first.key), undefined);
    t.true(links.get(first.key)?.isReachable);
    t.false(links.get(next.key)?.isReachable);
    // The present incarnation would refuse its own orders after a higher one.
    t.is(Math.max(...fences), fence);
    await answer(2_000);
    t.is(links.successorOf(first.key), next.key);
    t.true(links.absentKeys().includes(first.key));
    t.true(links.get(next.key)!.fence > fence);
    // A late announcement of the one before changes nothing.
    links.drop(first.key);
    t.true(
      links.isRefuted({ ...first, key: "w@999", bornMs: 999 }, () => false),
    );
  });
}

// Guards against a link that nobody closes, of a batch committed meanwhile.
test("a worker that is announced after the links are closed isn't called", async (t) => {
  const { links, fences, announce, answer } = answeredLinks(t);
  links.close();
  announce("w", 1_000);
  await answer(1_000);
  t.deepEqual(fences, []);
});
