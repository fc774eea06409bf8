/**
 * The group's own time: it follows the moments in the commands, the same on
 * every member, and never jumps far ahead.
 *
 * @module
 */

/** How often, by the group's time, old entries are looked for. */
const PRUNE_PERIOD_MS = 60_000;

/** The moments that a snapshot keeps. */
export interface GroupMoments {
  readonly nowMs: number;
  readonly prunedAtMs: number;
}

/** The group's time on one member. */
export class GroupTime {
  readonly #stepLimitMs: number;
  #nowMs: number;
  #prunedAtMs: number;

  constructor(options: {
    /** The furthest that one command may move the time forward. */
    readonly stepLimitMs: number;
    readonly moments?: GroupMoments;
  }) {
    this.#stepLimitMs = options.stepLimitMs;
    this.#nowMs = options.moments?.nowMs ?? 0;
    this.#prunedAtMs = options.moments?.prunedAtMs ?? 0;
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  get moments(): GroupMoments {
    return { nowMs: this.#nowMs, prunedAtMs: this.#prunedAtMs };
  }

  /** Takes a command's moment; true when old entries should be dropped. */
  advance(atMs: number): boolean {
    const furthestMs = this.#nowMs + this.#stepLimitMs;
    const reachedMs = this.#nowMs === 0 ? atMs : Math.min(atMs, furthestMs);
    this.#nowMs = Math.max(this.#nowMs, reachedMs);
    if (this.#nowMs - this.#prunedAtMs < PRUNE_PERIOD_MS) {
      return false;
    }
    this.#prunedAtMs = this.#nowMs;
    return true;
  }
}
