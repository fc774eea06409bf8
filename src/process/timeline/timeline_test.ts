import test from "ava";
import { FakeClock } from "../../base/mod.ts";
import { compareTimestamps, HybridClock } from "./hybrid_clock.ts";
import { Timeline } from "./timeline.ts";
import { mergeRecords } from "./timeline_record.ts";

test("an effect is later than its cause, even if its clock lags", (t) => {
  const ahead = new HybridClock({ clock: new FakeClock({ startMs: 5_000 }) });
  const behind = new HybridClock({ clock: new FakeClock({ startMs: 1_000 }) });
  const cause = ahead.next();
  behind.observe(cause);
  const effect = behind.next();
  t.true(compareTimestamps(cause, effect) < 0);
});

test("a timestamp that is far ahead is ignored", (t) => {
  const clock = new HybridClock({ clock: new FakeClock({ startMs: 1_000 }) });
  clock.observe({ wallMs: 10_000_000, counter: 0 });
  t.is(clock.next().wallMs, 1_000);
});

function makeTimeline(instanceId: string, hybridClock: HybridClock): Timeline {
  return new Timeline({ instanceId, hybridClock, capacity: 3 });
}

test("the oldest events are dropped first when the timeline is full", (t) => {
  const hybridClock = new HybridClock({ clock: new FakeClock() });
  const timeline = makeTimeline("a", hybridClock);
  for (const jobId of ["1", "2", "3", "4", "5"]) {
    timeline.emit("jobSubmitted", { jobId });
  }
  const ids = timeline.read({ limit: 10 }).map((each) => each.fields["jobId"]);
  t.deepEqual(ids, ["3", "4", "5"]);
  const one = timeline.read({ limit: 10, jobId: "4" });
  t.deepEqual(one.map((each) => each.sequence), [3]);
});

test("the records of several instances are merged in causal order", (t) => {
  const clocks = [9_000, 1_000].map((startMs) =>
    new HybridClock({ clock: new FakeClock({ startMs }) })
  );
  const [ahead, behind] = clocks as [HybridClock, HybridClock];
  const a = makeTimeline("a", ahead);
  const b = makeTimeline("b", behind);
  a.emit("jobSubmitted", { jobId: "1" });
  behind.observe(ahead.next());
  b.emit("gangStarted", { jobId: "1" });
  ahead.observe(behind.next());
  a.emit("jobEnded", { jobId: "1" });
  const recordLists = [b, a].map((each) => each.read({ limit: 10 }));
  const names = mergeRecords(recordLists, { limit: 10 }).map((each) =>
    each.name
  );
  t.deepEqual(names, ["jobSubmitted", "gangStarted", "jobEnded"]);
});
