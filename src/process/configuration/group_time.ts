/**
 * The replication group's clock: derived from the timestamps of the commands,
 * so that it is the same on every member. It never goes back, and one command
 * moves it forward by a bounded step only.
 *
 * @module
 */

/** Interval, in group time, between two prunings of old entries. */
const PRUNE_PERIOD_MS = 60_000;

/** The clock's state, as stored in a snapshot. */
export interface GroupTimeState {
  readonly nowMs: number;
  readonly prunedAtMs: number;
}

/** The group's clock on one member. */
export class GroupTime {
  readonly #stepLimitMs: number;
  #nowMs: number;
  #prunedAtMs: number;

  constructor(options: {
    /** How far one command may move the time forward. */
    readonly stepLimitMs: number;
    readonly state?: GroupTimeState;
  }) {
    this.#stepLimitMs = options.stepLimitMs;
    this.#nowMs = options.state?.nowMs ?? 0;
    this.#prunedAtMs = options.state?.prunedAtMs ?? 0;
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  get state(): GroupTimeState {
    return { nowMs: this.#nowMs, prunedAtMs: this.#prunedAtMs };
  }

  /**
   * Moves the time to a command's timestamp, within the step limit. The first
   * command sets it freely.
   *
   * @returns true when old entries are due for pruning
   */
  advance(atMs: number): boolean {
    const limitMs = this.#nowMs + this.#stepLimitMs;
    const nextMs = this.#nowMs === 0 ? atMs : Math.min(atMs, limitMs);
    this.#nowMs = Math.max(this.#nowMs, nextMs);
    if (this.#nowMs - this.#prunedAtMs < PRUNE_PERIOD_MS) {
      return false;
    }
    this.#prunedAtMs = this.#nowMs;
    return true;
  }
}
