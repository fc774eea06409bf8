import test from "ava";
import { SuspendAwareClock } from "./suspend_aware_clock.ts";

/** Clocks as a suspended machine shows them. */
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

test("time for which the machine was suspended counts", (t) => {
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

test("a wall clock that is set back moves nothing back", (t) => {
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
