import test from "ava";
import { BATCH_TIMING, timingFor } from "./batch_timing.ts";

test("the limits of the first site give the default timing", (t) => {
  const bounds = {
    leaseLimitMs: 10_000,
    gangWaitMs: 3_000,
    guaranteeMs: 3_400,
    stopLimitMs: 900,
  };
  t.deepEqual(timingFor(bounds), BATCH_TIMING);
});

test("limits that leave no time to wait give waits of zero, not negative ones", (t) => {
  const timing = timingFor({
    leaseLimitMs: 500,
    gangWaitMs: 500,
    guaranteeMs: 1_000,
    stopLimitMs: 900,
  });
  t.is(timing.gangStartTimeoutMs, 0);
  t.is(timing.guaranteeWaitMs, 0);
});
