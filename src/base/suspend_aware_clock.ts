/**
 * A clock that also counts the time for which the machine was suspended.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { SystemClock } from "./clock.ts";

/** Wall and steady clock may drift apart by so much between two looks. */
const DRIFT_LIMIT_MS = 50;

/** The two clocks of a machine. */
export interface ClockSources {
  /** Doesn't count time for which the machine was suspended. */
  readonly steadyMs: () => number;
  /** Counts it, and may be set. */
  readonly wallMs: () => number;
}

const MACHINE_SOURCES: ClockSources = {
  steadyMs: () => performance.timeOrigin + performance.now(),
  wallMs: () => Date.now(),
};

/**
 * The steady clock stands still while a machine is suspended, and a lease
 * must not. So a wall clock that gains on the steady clock moves this clock
 * on. A wall clock that is set ahead looks the same and only ends leases
 * early; one that is set back is ignored.
 */
export class SuspendAwareClock extends SystemClock {
  readonly #sources: ClockSources;
  #suspendedMs = 0;
  #aheadMs: number;

  constructor(sources: ClockSources = MACHINE_SOURCES) {
    super();
    this.#sources = sources;
    this.#aheadMs = sources.wallMs() - sources.steadyMs();
  }

  override nowMs(): number {
    const steadyMs = this.#sources.steadyMs();
    const aheadMs = this.#sources.wallMs() - steadyMs;
    const gainedMs = aheadMs - this.#aheadMs;
    if (Math.abs(gainedMs) > DRIFT_LIMIT_MS) {
      this.#suspendedMs += Math.max(0, gainedMs);
      this.#aheadMs = aheadMs;
    }
    return steadyMs + this.#suspendedMs;
  }
}
