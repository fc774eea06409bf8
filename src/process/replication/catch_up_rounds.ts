/**
 * How long a member takes to store what its leader had at a moment, measured in
 * rounds: each begins with the end of the one before (Ongaro, 2014, section
 * 4.2.1). A member that is some milliseconds away never stores all that a busy
 * leader has, but its rounds are short.
 *
 * @module
 */

/** What a member stores, and what its leader has. */
export interface CatchUpState {
  readonly matchIndex: number;
  readonly lastIndex: number;
  readonly nowMs: number;
}

/** The rounds in which one member catches up. */
export class CatchUpRounds {
  #targetIndex: number;
  #beganAtMs: number;
  #lastLengthMs = Infinity;

  constructor({ lastIndex, nowMs }: Omit<CatchUpState, "matchIndex">) {
    this.#targetIndex = lastIndex;
    this.#beganAtMs = nowMs;
  }

  /** Ends the round if its target is reached, and begins the next one. */
  record({ matchIndex, lastIndex, nowMs }: CatchUpState): void {
    if (matchIndex >= this.#targetIndex) {
      this.#lastLengthMs = nowMs - this.#beganAtMs;
      this.#targetIndex = lastIndex;
      this.#beganAtMs = nowMs;
    }
  }

  /** Whether neither the last round nor the current one took longer. */
  areWithin(limitMs: number, nowMs: number): boolean {
    return this.#lastLengthMs <= limitMs &&
      nowMs - this.#beganAtMs <= limitMs;
  }
}
