/**
 * Time as the code sees it: passed in, so that a fake clock can drive it.
 *
 * @module
 */

import { performance } from "node:perf_hooks";

/** A timer that has been set; `close` cancels it and may be called twice. */
export interface Timer {
  close(): void;
}

/** A source of time that never runs backwards within one process. */
export interface Clock {
  /** Milliseconds since the Unix epoch; steps of the wall clock don't show. */
  nowMs(): number;
  /** Calls `action` once, `delayMs` milliseconds from now. */
  after(delayMs: number, action: () => void): Timer;
  /** Calls `action` every `periodMs` milliseconds until closed. */
  every(periodMs: number, action: () => void): Timer;
}

/** The clock of the running process. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.timeOrigin + performance.now();
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
