/**
 * Clocks and timers, injected so that tests can use a fake clock.
 *
 * @module
 */

import { performance } from "node:perf_hooks";

/** A pending timer; `close` cancels it and may be called repeatedly. */
export interface Timer {
  close(): void;
}

/** A source of time that never goes backwards within one process. */
export interface Clock {
  /**
   * Milliseconds since the Unix epoch; never falls behind the time that has
   * passed. May run ahead of it for good when the time of day is set forward.
   */
  nowMs(): number;
  /**
   * Milliseconds from a fixed moment of this process that have certainly passed:
   * it may leave out the time for which the machine was suspended, and a step of
   * the time of day doesn't change it. For waiting until others' permissions,
   * such as leases, have ended; one's own end by {@link nowMs}.
   */
  steadyMs(): number;
  /**
   * Milliseconds since the Unix epoch by the machine's time of day, for
   * comparing with times that others have set. May be set forward or back.
   */
  timeOfDayMs(): number;
  /** Calls `action` once, `delayMs` milliseconds from now. */
  after(delayMs: number, action: () => void): Timer;
  /** Calls `action` every `periodMs` milliseconds until closed. */
  every(periodMs: number, action: () => void): Timer;
}

/** The real clock of the process. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.timeOrigin + performance.now();
  }

  steadyMs(): number {
    return performance.now();
  }

  timeOfDayMs(): number {
    return Date.now();
  }

  after(delayMs: number, action: () => void): Timer {
    const timer = setTimeout(action, Math.max(0, delayMs));
    return { close: () => clearTimeout(timer) };
  }

  every(periodMs: number, action: () => void): Timer {
    const timer = setInterval(action, periodMs);
    return { close: () => clearInterval(timer) };
  }
}
