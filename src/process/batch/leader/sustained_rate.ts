/**
 * Measures the rate that one run keeps up, by its worker's own clock.
 *
 * Two measurements in a row have to agree. A run that stands still closes no
 * measurement, and one during which it stopped disagrees with its neighbours.
 *
 * @module
 */

import type { ProgressSample } from "./run_pace.ts";

/** The shortest measurement; reports come several times a second. */
const MEASUREMENT_MIN_MS = 1_000;

/** The shortest measurement that a run's end completes. */
const LAST_MEASUREMENT_MIN_MS = 500;

/** Progress is reported in whole percent, so less than this is too coarse. */
const ADVANCE_MIN = 0.04;

/** The largest quotient of two rates that agree. */
const AGREEMENT_FACTOR = 1.5;

/** The sustained rate of one run. */
export class SustainedRate {
  #from: ProgressSample | undefined;
  #previousFrom: ProgressSample | undefined;
  #previousRate = 0;
  #highest = 0;

  /** The highest sustained rate, in shares of the work per millisecond; 0 if none. */
  get highest(): number {
    return this.#highest;
  }

  /** Records a sample; returns whether it completed a pair that agrees. */
  record(sample: ProgressSample, options: { isEnd?: boolean } = {}): boolean {
    const { isEnd = false } = options;
    const from = this.#from;
    if (from === undefined || sample.progress < from.progress) {
      this.restartAt(sample);
      return false;
    }
    // Work that is done waits for its gang, or for its end to be reported.
    const isWaiting = sample.progress >= 1 && !isEnd;
    const elapsedMs = sample.clockMs - from.clockMs;
    const advanced = sample.progress - from.progress;
    const minMs = isEnd ? LAST_MEASUREMENT_MIN_MS : MEASUREMENT_MIN_MS;
    if (isWaiting || elapsedMs < minMs || advanced < ADVANCE_MIN) {
      return false;
    }
    const rate = advanced / elapsedMs;
    const previousFrom = this.#previousFrom;
    const agrees = previousFrom !== undefined &&
      Math.max(rate, this.#previousRate) <=
        AGREEMENT_FACTOR * Math.min(rate, this.#previousRate);
    if (agrees) {
      const sustained = (sample.progress - previousFrom.progress) /
        (sample.clockMs - previousFrom.clockMs);
      this.#highest = Math.max(this.#highest, sustained);
    }
    this.#previousFrom = from;
    this.#previousRate = rate;
    this.#from = sample;
    return agrees;
  }

  /** Starts measuring at this sample: what came before doesn't count. */
  restartAt(sample: ProgressSample): void {
    this.#from = sample;
    this.#previousFrom = undefined;
    this.#previousRate = 0;
  }
}
