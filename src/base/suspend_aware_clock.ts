/**
 * A clock that includes the time during which the machine was suspended.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { SystemClock } from "./clock.ts";

/**
 * A change of the difference between the clocks since the last adjustment is
 * ignored as drift up to this limit. A larger gain of the wall clock counts as
 * suspended time.
 */
const DRIFT_LIMIT_MS = 50;

/** The two clocks of a machine, in milliseconds since the Unix epoch. */
export interface ClockSources {
  /** Never set, but stands still while the machine is suspended. */
  readonly steadyMs: () => number;
  /** Advances during a suspension, but can be set to another time. */
  readonly wallMs: () => number;
}

const SYSTEM_SOURCES: ClockSources = {
  steadyMs: () => performance.timeOrigin + performance.now(),
  wallMs: () => Date.now(),
};

/**
 * The steady clock stands still while the machine is suspended, but leases
 * must expire during that time. This clock therefore also advances by what the
 * wall clock gains on the steady clock. A wall clock that is set forward has
 * the same effect, which only makes this process's own leases expire early;
 * setting it back is ignored. After a wall clock that was set forward and back
 * again, this clock therefore stays ahead, by more each time. Leases that others
 * hold are waited out by {@link steadyMs}, which never runs ahead.
 */
export class SuspendAwareClock extends SystemClock {
  readonly #sources: ClockSources;
  #suspendedMs = 0;
  #wallAheadMs: number;

  constructor(sources: ClockSources = SYSTEM_SOURCES) {
    super();
    this.#sources = sources;
    this.#wallAheadMs = sources.wallMs() - sources.steadyMs();
  }

  override nowMs(): number {
    const steadyMs = this.#sources.steadyMs();
    const wallAheadMs = this.#sources.wallMs() - steadyMs;
    const gainedMs = wallAheadMs - this.#wallAheadMs;
    if (Math.abs(gainedMs) > DRIFT_LIMIT_MS) {
      this.#suspendedMs += Math.max(0, gainedMs);
      this.#wallAheadMs = wallAheadMs;
    }
    return steadyMs + this.#suspendedMs;
  }

  override steadyMs(): number {
    return this.#sources.steadyMs();
  }

  override timeOfDayMs(): number {
    return this.#sources.wallMs();
  }
}
