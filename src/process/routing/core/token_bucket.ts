/**
 * A token bucket.
 *
 * @module
 */

/** Tokens up to a limit, added explicitly or at a rate. */
export class TokenBucket {
  #limit: number;
  #tokens: number;
  #refilledAtMs = 0;

  constructor(options: { limit: number; tokens?: number }) {
    this.#limit = options.limit;
    this.#tokens = options.tokens ?? options.limit;
  }

  get tokens(): number {
    return this.#tokens;
  }

  add(tokens: number): void {
    this.#tokens = Math.min(this.#limit, this.#tokens + tokens);
  }

  /** Sets the limit and adds the tokens accrued since the last refill. */
  refill(nowMs: number, options: { perSecond: number; limit: number }): void {
    this.#limit = options.limit;
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
    this.#refilledAtMs = Math.max(this.#refilledAtMs, nowMs);
    this.add(options.perSecond * elapsedMs / 1_000);
  }

  /** Takes the tokens; false, and takes none, when there are too few. */
  tryTake(tokens: number): boolean {
    if (this.#tokens < tokens) {
      return false;
    }
    this.#tokens -= tokens;
    return true;
  }
}
