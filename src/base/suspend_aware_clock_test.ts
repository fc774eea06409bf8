import test from "ava";
import { SuspendAwareClock } from "./suspend_aware_clock.ts";

/** Clock sources whose readings the test sets. */
function fakeSources() {
  const now = { steadyMs: 1_000, wallMs: 5_000 };
  return {
    now,
    sources: {
      steadyMs: () => now.steadyMs,
      wallMs: () => now.wallMs,
    },
  };
}

test("the time during which the machine was suspended is included", (t) => {
  const { now, sources } = fakeSources();
  const clock = new SuspendAwareClock(sources);
  const beforeMs = clock.nowMs();
  now.steadyMs += 100;
  now.wallMs += 4_100;
  t.is(clock.nowMs() - beforeMs, 4_100);
  now.steadyMs += 50;
  now.wallMs += 50;
  t.is(clock.nowMs() - beforeMs, 4_150);
});

test("setting the wall clock back does not set this clock back", (t) => {
  const { now, sources } = fakeSources();
  const clock = new SuspendAwareClock(sources);
  const beforeMs = clock.nowMs();
  now.steadyMs += 100;
  now.wallMs -= 2_000;
  t.is(clock.nowMs() - beforeMs, 100);
  now.steadyMs += 100;
  now.wallMs += 100;
  t.is(clock.nowMs() - beforeMs, 200);
});

test("the time of day is what the wall clock shows", (t) => {
  const { now, sources } = fakeSources();
  const clock = new SuspendAwareClock(sources);
  const beforeMs = clock.nowMs();
  for (const byMs of [2_400, -2_400, 2_400, -2_400]) {
    now.wallMs += byMs;
    clock.nowMs();
  }
  t.is(clock.nowMs() - beforeMs, 4_800);
  t.is(clock.timeOfDayMs(), 5_000);
});
