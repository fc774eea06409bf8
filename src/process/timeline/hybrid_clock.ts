/**
 * Hybrid logical clock (Kulkarni et al., 2014): close to the wall clock, yet
 * an effect always has a later stamp than its cause in another process.
 *
 * @module
 */

import type { Clock } from "../../base/mod.ts";

/** A moment that respects cause and effect over all processes. */
export interface HybridStamp {
  readonly wallMs: number;
  /** Orders stamps with the same `wallMs`. */
  readonly counter: number;
}

/** Stamps further ahead than this are not taken over from a peer. */
const AHEAD_LIMIT_MS = 60_000;

/** The hybrid logical clock of one process. */
export class HybridClock {
  #clock: Clock;
  #last: HybridStamp = { wallMs: 0, counter: 0 };

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** A stamp later than all that this process has given or seen. */
  next(): HybridStamp {
    const wallMs = Math.floor(this.#clock.nowMs());
    if (wallMs > this.#last.wallMs) {
      this.#last = { wallMs, counter: 0 };
    } else {
      this.#last = {
        wallMs: this.#last.wallMs,
        counter: this.#last.counter + 1,
      };
    }
    return this.#last;
  }

  /** Takes note of a stamp that came from another process. */
  observe(stamp: HybridStamp): void {
    if (stamp.wallMs > this.#clock.nowMs() + AHEAD_LIMIT_MS) {
      return;
    }
    if (compareStamps(stamp, this.#last) > 0) {
      this.#last = stamp;
    }
  }
}

/** Negative when `left` is the earlier, positive when it is the later. */
export function compareStamps(left: HybridStamp, right: HybridStamp): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
