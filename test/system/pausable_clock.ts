/**
 * The clock of one process that can be stopped for a while and go on: its
 * timers wait, while time passes on.
 *
 * @module
 */

import type { Clock, Timer } from "../../src/base/clock.ts";

/** A clock whose timers can be held back. */
export class PausableClock implements Clock {
  readonly #clock: Clock;
  readonly #held: (() => void)[] = [];
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

  after(delayMs: number, action: () => void): Timer {
    return this.#guard((fire) => this.#clock.after(delayMs, fire), action);
  }

  every(periodMs: number, action: () => void): Timer {
    return this.#guard((fire) => this.#clock.every(periodMs, fire), action);
  }

  pause(): void {
    this.#isPaused = true;
  }

  /** Fires what fell due meanwhile, each timer once. */
  resume(): void {
    this.#isPaused = false;
    this.#held.splice(0).forEach((fire) => fire());
  }

  #guard(set: (fire: () => void) => Timer, action: () => void): Timer {
    let isClosed = false;
    let isHeld = false;
    const fire = () => {
      if (isClosed) {
        return;
      }
      if (!this.#isPaused) {
        isHeld = false;
        action();
      } else if (!isHeld) {
        isHeld = true;
        this.#held.push(fire);
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
