/**
 * Hybrid logical clock (Kulkarni et al., 2014): stays close to the wall clock,
 * yet gives an effect a later timestamp than its cause in another process.
 *
 * @module
 */

import type { Clock } from "../../base/mod.ts";

/** A timestamp that is ordered causally across processes. */
export interface HybridTimestamp {
  readonly wallMs: number;
  /** Orders timestamps with the same `wallMs`. */
  readonly counter: number;
}

/** Timestamps of peers that are further ahead than this are ignored. */
const AHEAD_LIMIT_MS = 60_000;

/** The hybrid logical clock of one process. */
export class HybridClock {
  #clock: Clock;
  #last: HybridTimestamp = { wallMs: 0, counter: 0 };

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** A timestamp later than all that this clock has returned or observed. */
  next(): HybridTimestamp {
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

  /** Advances this clock to a timestamp received from another process. */
  observe(timestamp: HybridTimestamp): void {
    if (timestamp.wallMs > this.#clock.nowMs() + AHEAD_LIMIT_MS) {
      return;
    }
    if (compareTimestamps(timestamp, this.#last) > 0) {
      this.#last = timestamp;
    }
  }
}

/** Negative if `left` is earlier than `right`, positive if it is later. */
export function compareTimestamps(
  left: HybridTimestamp,
  right: HybridTimestamp,
): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
