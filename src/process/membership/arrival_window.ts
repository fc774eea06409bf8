/**
 * When heartbeats came, and how unlikely a silence is: the phi-accrual
 * detector (Hayashibara et al., 2004).
 *
 * @module
 */

/** The window's bounds. */
export const ARRIVAL_WINDOW_DEFAULTS = {
  /** The intervals that are remembered. */
  size: 32,
  /** No deviation is taken for smaller than this. */
  deviationFloorMs: 150,
} as const;

/** The intervals between the last heartbeats of one peer. */
export class ArrivalWindow {
  #intervalsMs: number[] = [];
  #lastAtMs: number;
  #expectedMs: number;

  constructor(options: { firstAtMs: number; expectedIntervalMs: number }) {
    this.#lastAtMs = options.firstAtMs;
    this.#expectedMs = options.expectedIntervalMs;
  }

  /** When the last heartbeat came. */
  get lastAtMs(): number {
    return this.#lastAtMs;
  }

  /** Takes note of a heartbeat. */
  add(atMs: number): void {
    this.#intervalsMs.push(atMs - this.#lastAtMs);
    if (this.#intervalsMs.length > ARRIVAL_WINDOW_DEFAULTS.size) {
      this.#intervalsMs.shift();
    }
    this.#lastAtMs = atMs;
  }

  /** The mean interval; the expected one while there are too few. */
  meanMs(): number {
    const count = this.#intervalsMs.length;
    if (count < 3) {
      return this.#expectedMs;
    }
    return this.#intervalsMs.reduce((sum, each) => sum + each, 0) / count;
  }

  /**
   * How surprising the present silence is: 1 means that a live peer is
   * silent for so long one time in ten, 8 one time in a hundred million.
   */
  phi(nowMs: number): number {
    const meanMs = this.meanMs();
    const silentMs = nowMs - this.#lastAtMs;
    const score = (silentMs - meanMs) / this.#deviationMs(meanMs);
    return -Math.log10(tailProbability(score));
  }

  #deviationMs(meanMs: number): number {
    const { deviationFloorMs } = ARRIVAL_WINDOW_DEFAULTS;
    const count = this.#intervalsMs.length;
    if (count < 3) {
      return Math.max(deviationFloorMs, meanMs / 4);
    }
    const squares = this.#intervalsMs
      .reduce((sum, each) => sum + (each - meanMs) ** 2, 0);
    return Math.max(deviationFloorMs, Math.sqrt(squares / count));
  }
}

/** Logistic approximation of the upper tail of the normal distribution. */
function tailProbability(score: number): number {
  const exponent = score * (1.5976 + 0.070566 * score * score);
  return Math.max(1 / (1 + Math.exp(exponent)), Number.MIN_VALUE);
}
