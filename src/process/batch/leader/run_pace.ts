/**
 * Measures how fast one run advances, from the progress in its worker's reports.
 *
 * All times are the worker's own, taken from the same report as the progress. A
 * report that is late, or never arrives, therefore can't make a run look slow.
 *
 * @module
 */

/** How far a run was, and the worker's clock at that moment. */
export interface ProgressSample {
  readonly clockMs: number;
  /** The share of the work that is done, 0 to 1. */
  readonly progress: number;
}

/** The shortest time between two samples that are compared. */
const MEASUREMENT_MIN_MS = 1_000;

/** A run is slow below this share of the rate that it should have. */
const SLOW_RATE_SHARE = 0.35;

/** Progress is reported in whole percent. */
const PROGRESS_RESOLUTION = 0.01;

/** The pace of one run. */
export class RunPace {
  #measuredFrom: ProgressSample | undefined;
  #progress = 0;
  #highestRate = 0;
  #lagMs = 0;
  #slowMeasurements = 0;

  /** The share of the work that is done, 0 to 1. */
  get progress(): number {
    return this.#progress;
  }

  /** The highest rate measured, in shares of the work per millisecond. */
  get highestRate(): number {
    return this.#highestRate;
  }

  /** By how much the slow measurements in a row have set the run back. */
  get lagMs(): number {
    return this.#lagMs;
  }

  /** How many measurements in a row found the run slow. */
  get slowMeasurements(): number {
    return this.#slowMeasurements;
  }

  /** Starts measuring at this sample: what came before doesn't count. */
  restartAt(sample: ProgressSample): void {
    this.#measuredFrom = sample;
    this.#progress = sample.progress;
    this.#lagMs = 0;
    this.#slowMeasurements = 0;
  }

  /**
   * Records a sample. `soundRate` tells the rate of a run that isn't slow; it is
   * called only where the run's own rate doesn't settle that.
   */
  record(sample: ProgressSample, soundRate: () => number): void {
    const from = this.#measuredFrom;
    if (from === undefined || sample.progress < from.progress) {
      this.restartAt(sample);
      return;
    }
    this.#progress = sample.progress;
    const elapsedMs = sample.clockMs - from.clockMs;
    if (elapsedMs < MEASUREMENT_MIN_MS) {
      return;
    }
    this.#measuredFrom = sample;
    const advanced = sample.progress - from.progress;
    const isSlowerThan = (rate: number) =>
      sample.progress < 1 &&
      (advanced + PROGRESS_RESOLUTION) / elapsedMs < rate * SLOW_RATE_SHARE;
    // A run that was sound is compared with others only if it slows down.
    const maySlow = this.#highestRate === 0 || isSlowerThan(this.#highestRate);
    const expectedRate = maySlow ? soundRate() : this.#highestRate;
    if (isSlowerThan(expectedRate)) {
      this.#lagMs += elapsedMs - advanced / expectedRate;
      this.#slowMeasurements += 1;
    } else {
      this.#lagMs = 0;
      this.#slowMeasurements = 0;
      this.#highestRate = Math.max(this.#highestRate, advanced / elapsedMs);
    }
  }
}
