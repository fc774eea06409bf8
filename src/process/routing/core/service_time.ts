/**
 * A running estimate of how long answers take.
 *
 * @module
 */

const MEAN_WEIGHT = 1 / 16;
const DEVIATION_WEIGHT = 1 / 8;

/** Smoothed mean and mean deviation of durations. */
export class ServiceTime {
  #meanMs = 0;
  #deviationMs = 0;
  #samples = 0;

  get samples(): number {
    return this.#samples;
  }

  /** 0 before the first sample. */
  get meanMs(): number {
    return this.#meanMs;
  }

  record(durationMs: number): void {
    this.#samples += 1;
    if (this.#samples === 1) {
      this.#meanMs = durationMs;
      this.#deviationMs = durationMs / 2;
      return;
    }
    const differenceMs = durationMs - this.#meanMs;
    const weight = Math.max(MEAN_WEIGHT, 1 / this.#samples);
    this.#meanMs += differenceMs * weight;
    this.#deviationMs += (Math.abs(differenceMs) - this.#deviationMs) *
      DEVIATION_WEIGHT;
  }

  /** The mean plus the given number of deviations. */
  upperBoundMs(deviations: number): number {
    return this.#meanMs + deviations * this.#deviationMs;
  }

  clear(): void {
    this.#meanMs = 0;
    this.#deviationMs = 0;
    this.#samples = 0;
  }
}
