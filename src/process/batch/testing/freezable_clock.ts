/**
 * One process's view of a shared fake clock: the process can be suspended, and
 * killed.
 *
 * @module
 */

import type { Clock, Timer } from "../../../base/mod.ts";

/** A clock of one process. */
export class FreezableClock implements Clock {
  readonly #clock: Clock;
  readonly #timers = new Set<Timer>();
  #held: (() => void)[] = [];
  #frozenAtMs: number | undefined;
  /** The steady clock doesn't count the time of a suspension. */
  #frozenMs = 0;
  #isClosed = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get isFrozen(): boolean {
    return this.#frozenAtMs !== undefined;
  }

  nowMs(): number {
    return this.#clock.nowMs();
  }

  steadyMs(): number {
    return (this.#frozenAtMs ?? this.#clock.steadyMs()) - this.#frozenMs;
  }

  timeOfDayMs(): number {
    return this.#clock.timeOfDayMs();
  }

  after(delayMs: number, action: () => void): Timer {
    const timer = this.#clock.after(delayMs, () => {
      this.#timers.delete(timer);
      this.run(() => {
        if (!isCancelled) {
          action();
        }
      });
    });
    let isCancelled = false;
    this.#timers.add(timer);
    return {
      close: () => {
        isCancelled = true;
        this.#timers.delete(timer);
        timer.close();
      },
    };
  }

  every(periodMs: number, action: () => void): Timer {
    let isHeld = false;
    let isCancelled = false;
    const timer = this.#clock.every(periodMs, () => {
      if (isHeld) {
        return;
      }
      isHeld = true;
      this.run(() => {
        isHeld = false;
        if (!isCancelled) {
          action();
        }
      });
    });
    this.#timers.add(timer);
    return {
      close: () => {
        isCancelled = true;
        this.#timers.delete(timer);
        timer.close();
      },
    };
  }

  /** Runs the action, after the suspension if there is one. */
  run(action: () => void): void {
    if (this.#isClosed) {
      return;
    }
    if (this.isFrozen) {
      this.#held.push(action);
    } else {
      action();
    }
  }

  freeze(): void {
    this.#frozenAtMs ??= this.#clock.steadyMs();
  }

  thaw(): void {
    if (this.#frozenAtMs === undefined) {
      return;
    }
    this.#frozenMs += this.#clock.steadyMs() - this.#frozenAtMs;
    this.#frozenAtMs = undefined;
    for (const action of this.#held.splice(0)) {
      action();
    }
  }

  /** Ends the process: no action of it runs any more. */
  close(): void {
    this.#isClosed = true;
    this.#held = [];
    this.#timers.forEach((timer) => timer.close());
    this.#timers.clear();
  }
}
