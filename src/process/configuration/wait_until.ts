/**
 * Waits for a condition on replicated state.
 *
 * @module
 */

import type { Stream } from "most";
import type { Clock } from "../../base/clock.ts";

/**
 * Resolves with true once `condition` holds, or with false at the deadline.
 * The condition is checked on every change and once more at the deadline.
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
    const finish = (isMet: boolean) => {
      subscription.unsubscribe();
      timer.close();
      resolve(isMet);
    };
    const check = () => {
      if (condition()) {
        finish(true);
      }
    };
    const subscription = options.changes.subscribe({
      next: check,
      error: () => undefined,
      complete: () => undefined,
    });
    const delayMs = options.deadlineMs - options.clock.nowMs();
    const timer = options.clock.after(delayMs, () => finish(condition()));
  });
}
