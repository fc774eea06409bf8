/**
 * The clock of one simulated process that can be frozen: its timers wait until
 * the process resumes, while time goes on.
 *
 * @module
 */

import type { Clock, Timer } from "../../src/base/clock.ts";

/** A clock whose timers can be paused. */
export class PausableClock implements Clock {
  readonly #clock: Clock;
  readonly #pending: (() => void)[] = [];
  #isPaused = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get isPaused(): boolean {
    return this.#isPaused;
  }

  nowMs(): number {
    return this.#clock.nowMs();
  }

  steadyMs(): number {
    return this.#clock.steadyMs();
  }

  timeOfDayMs(): number {
    return this.#clock.timeOfDayMs();
  }

  after(delayMs: number, action: () => void): Timer {
    return this.#wrap((fire) => this.#clock.after(delayMs, fire), action);
  }

  every(periodMs: number, action: () => void): Timer {
    return this.#wrap((fire) => this.#clock.every(periodMs, fire), action);
  }

  pause(): void {
    this.#isPaused = true;
  }

  /** Fires the timers that fell due during the pause, each once. */
  resume(): void {
    this.#isPaused = false;
    this.#pending.splice(0).forEach((fire) => fire());
  }

  #wrap(set: (fire: () => void) => Timer, action: () => void): Timer {
    let isClosed = false;
    let isPending = false;
    const fire = () => {
      if (isClosed) {
        return;
      }
      if (!this.#isPaused) {
        isPending = false;
        action();
      } else if (!isPending) {
        isPending = true;
        this.#pending.push(fire);
      }
    };
    const timer = set(fire);
    return {
      close: () => {
        isClosed = true;
        timer.close();
      },
    };
  }
}
