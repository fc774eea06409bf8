/**
 * Learns by how much the declared estimates of a queue's tasks are too low.
 *
 * @module
 */

/** Ratios kept for each queue; older ones are dropped. */
const KEPT_RATIOS = 64;

/** With fewer ratios than this, the default is assumed. */
const RATIOS_MIN = 12;

/** The factor assumed for a queue of which little is known. */
const DEFAULT_FACTOR = 4;

/** Nine of ten tasks take at most this multiple of their estimate. */
const QUANTILE = 0.9;

/** The ratios of actual durations to estimates, by queue. */
export class EstimateErrors {
  readonly #ratios = new Map<string, number[]>();

  /** Records how many times its estimate a task takes. */
  record(queue: string, ratio: number): void {
    const ratios = this.#ratios.get(queue) ?? [];
    ratios.push(ratio);
    if (ratios.length > KEPT_RATIOS) {
      ratios.shift();
    }
    this.#ratios.set(queue, ratios);
  }

  /** The multiple of its estimate that a task may well take. */
  factorOf(queue: string): number {
    const ratios = this.#ratios.get(queue) ?? [];
    if (ratios.length < RATIOS_MIN) {
      return DEFAULT_FACTOR;
    }
    const sorted = [...ratios].sort((a, b) => a - b);
    return Math.max(1, sorted[Math.floor(sorted.length * QUANTILE)]!);
  }
}
