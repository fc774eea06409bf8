/**
 * Waits for a condition on replicated state.
 *
 * @module
 */

import type { Stream } from "most";
import type { Clock } from "../../base/clock.ts";

/**
 * Resolves with true once `condition` holds, looked at on every change, or
 * with false at the deadline.
 */
export function waitUntil(
  condition: () => boolean,
  options: {
    readonly clock: Clock;
    readonly changes: Stream<unknown>;
    readonly deadlineMs: number;
  },
): Promise<boolean> {
  if (condition()) {
    return Promise.resolve(true);
  }
  return new Promise((resolve) => {
    const finish = (holds: boolean) => {
      subscription.unsubscribe();
      timer.close();
      resolve(holds);
    };
    const look = () => {
      if (condition()) {
        finish(true);
      }
    };
    const subscription = options.changes.subscribe({
      next: look,
      error: () => undefined,
      complete: () => undefined,
    });
    const delayMs = options.deadlineMs - options.clock.nowMs();
    const timer = options.clock.after(delayMs, () => finish(condition()));
  });
}
