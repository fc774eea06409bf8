/**
 * The phi-accrual failure detector (Hayashibara et al., 2004): estimates from
 * past heartbeat intervals how unlikely the time since the last heartbeat is.
 *
 * @module
 */

/** Parameters of the window. */
export const ARRIVAL_WINDOW_DEFAULTS = {
  /** The number of intervals kept. */
  size: 32,
  /** The minimum standard deviation assumed. */
  deviationFloorMs: 150,
} as const;

/** The intervals between the latest heartbeats of one peer. */
export class ArrivalWindow {
  #intervalsMs: number[] = [];
  #lastAtMs: number;
  #expectedMs: number;

  constructor(options: { firstAtMs: number; expectedIntervalMs: number }) {
    this.#lastAtMs = options.firstAtMs;
    this.#expectedMs = options.expectedIntervalMs;
  }

  /** When the latest heartbeat arrived. */
  get lastAtMs(): number {
    return this.#lastAtMs;
  }

  /** Records a heartbeat. */
  add(atMs: number): void {
    this.#intervalsMs.push(atMs - this.#lastAtMs);
    if (this.#intervalsMs.length > ARRIVAL_WINDOW_DEFAULTS.size) {
      this.#intervalsMs.shift();
    }
    this.#lastAtMs = atMs;
  }

  /** The mean interval; the expected one while fewer than 3 are known. */
  meanMs(): number {
    const count = this.#intervalsMs.length;
    if (count < 3) {
      return this.#expectedMs;
    }
    return this.#intervalsMs.reduce((sum, each) => sum + each, 0) / count;
  }

  /**
   * How unlikely it is that a live peer has sent no heartbeat for so long: phi
   * 1 means a probability of 10^-1, phi 8 one of 10^-8.
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
