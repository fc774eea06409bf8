/**
 * A clock for tests and benchmarks that advances only on request.
 *
 * @module
 */

import type { Clock, Timer } from "./clock.ts";

interface PendingTimer {
  dueMs: number;
  order: number;
  periodMs: number | undefined;
  action: () => void;
}

/**
 * A clock that the caller advances. Timers fire in order of due time, and in
 * the order of scheduling when due at the same time.
 */
export class FakeClock implements Clock {
  #steadyMs: number;
  #order = 0;
  #pending = new Set<PendingTimer>();
  /** By how much the time of day is ahead of {@link nowMs}. */
  timeOfDayAheadMs = 0;
  /**
   * By how much {@link nowMs} is ahead of the time that has passed, as after the
   * time of day was set forward.
   */
  aheadMs = 0;

  constructor(options: { startMs?: number } = {}) {
    this.#steadyMs = options.startMs ?? 0;
  }

  nowMs(): number {
    return this.#steadyMs + this.aheadMs;
  }

  steadyMs(): number {
    return this.#steadyMs;
  }

  timeOfDayMs(): number {
    return this.nowMs() + this.timeOfDayAheadMs;
  }

  after(delayMs: number, action: () => void): Timer {
    return this.#schedule(delayMs, undefined, action);
  }

  every(periodMs: number, action: () => void): Timer {
    return this.#schedule(periodMs, periodMs, action);
  }

  /** The due time of the next timer by {@link steadyMs}; undefined for none. */
  nextDueMs(): number | undefined {
    return this.#nextTimer()?.dueMs;
  }

  /** Advances time by `byMs`, firing each timer at its due time. */
  advance(byMs: number): void {
    const endMs = this.#steadyMs + byMs;
    let next = this.#nextTimer();
    while (next !== undefined && next.dueMs <= endMs) {
      this.#steadyMs = Math.max(this.#steadyMs, next.dueMs);
      this.#fire(next);
      next = this.#nextTimer();
    }
    this.#steadyMs = endMs;
  }

  #schedule(
    delayMs: number,
    periodMs: number | undefined,
    action: () => void,
  ): Timer {
    const timer: PendingTimer = {
      dueMs: this.#steadyMs + Math.max(0, delayMs),
      order: this.#order++,
      periodMs,
      action,
    };
    this.#pending.add(timer);
    return { close: () => this.#pending.delete(timer) };
  }

  #nextTimer(): PendingTimer | undefined {
    let first: PendingTimer | undefined;
    for (const timer of this.#pending) {
      if (first === undefined || isEarlier(timer, first)) {
        first = timer;
      }
    }
    return first;
  }

  #fire(timer: PendingTimer): void {
    if (timer.periodMs === undefined) {
      this.#pending.delete(timer);
    } else {
      timer.dueMs += Math.max(1, timer.periodMs);
      timer.order = this.#order++;
    }
    timer.action();
  }
}

function isEarlier(left: PendingTimer, right: PendingTimer): boolean {
  if (left.dueMs !== right.dueMs) {
    return left.dueMs < right.dueMs;
  }
  return left.order < right.order;
}
