import type { Clock } from "../../../base/clock.ts";

/** A clock that is behind another. */
export function clockBehind(clock: Clock, behindMs: number): Clock {
  return {
    nowMs: () => clock.nowMs() - behindMs,
    steadyMs: () => clock.steadyMs(),
    timeOfDayMs: () => clock.timeOfDayMs() - behindMs,
    after: (delayMs, action) => clock.after(delayMs, action),
    every: (periodMs, action) => clock.every(periodMs, action),
  };
}
