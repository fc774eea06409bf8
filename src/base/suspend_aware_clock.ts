/**
 * A clock that also counts the time for which the machine was suspended.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { SystemClock } from "./clock.ts";

/** Wall and steady clock may drift apart by so much between two looks. */
const DRIFT_LIMIT_MS = 50;

/**
 * The steady clock stands still while a machine is suspended, and a lease
 * must not. So a wall clock that gains on the steady clock moves this clock
 * on. A wall clock that is set ahead looks the same and only ends leases
 * early; one that is set back is ignored.
 */
export class SuspendAwareClock extends SystemClock {
  #suspendedMs = 0;
  #aheadMs = Date.now() - steadyMs();

  override nowMs(): number {
    const steady = steadyMs();
    const aheadMs = Date.now() - steady;
    const gainedMs = aheadMs - this.#aheadMs;
    if (Math.abs(gainedMs) > DRIFT_LIMIT_MS) {
      this.#suspendedMs += Math.max(0, gainedMs);
      this.#aheadMs = aheadMs;
    }
    return steady + this.#suspendedMs;
  }
}

function steadyMs(): number {
  return performance.timeOrigin + performance.now();
}
