/**
 * Limits how often one planning pass looks for runs to stop.
 *
 * Load condition: thousands of urgent units that don't fit wait beside thousands
 * of open runs. To look at all runs for each unit takes seconds, in which the
 * leader answers nobody and loses its leadership.
 *
 * @module
 */

/** How many runs a pass looks at, by default: about 0.1 s on Node 20. */
const LOOKS_LIMIT = 262_144;

/** The share of the attempts that is made in the order of the units. */
const ORDERED_SHARE = 0.5;

/** Options of {@link PreemptionTurns}. */
export interface PreemptionTurnsOptions {
  /** The units of the pass. */
  readonly units: number;
  /** The runs that each attempt looks at. */
  readonly stoppableRuns: number;
  /** The time of the pass, which decides whose turn it is. */
  readonly nowMs: number;
  readonly looksLimit?: number;
}

/**
 * Decides for which units a pass looks for runs to stop. The first units come
 * first; once half of the attempts are made, the others take turns from pass to
 * pass, so that none waits behind many that can't be helped.
 */
export class PreemptionTurns {
  readonly #orderedAttempts: number;
  readonly #stride: number;
  readonly #phase: number;
  #attempts = 0;

  constructor(options: PreemptionTurnsOptions) {
    const { units, stoppableRuns, nowMs, looksLimit = LOOKS_LIMIT } = options;
    const limit = Math.max(
      2,
      Math.floor(looksLimit / Math.max(1, stoppableRuns)),
    );
    const orderedAttempts = Math.ceil(limit * ORDERED_SHARE);
    this.#orderedAttempts = units <= limit ? limit : orderedAttempts;
    this.#stride = Math.max(1, Math.ceil(units / (limit - orderedAttempts)));
    this.#phase = Math.floor(nowMs) % this.#stride;
  }

  /** Whether to look for the unit at this position; counts as an attempt. */
  take(position: number): boolean {
    const mayTry = this.#attempts < this.#orderedAttempts ||
      position % this.#stride === this.#phase;
    this.#attempts += mayTry ? 1 : 0;
    return mayTry;
  }
}
