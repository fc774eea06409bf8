/**
 * A budget that fills up to a limit and is drawn from.
 *
 * @module
 */

/** Tokens, added by hand or at a rate, and taken. */
export class TokenBucket {
  #limit: number;
  #tokens: number;
  #filledAtMs = 0;

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

  /** Adds what the rate gives since the last fill. */
  fill(nowMs: number, options: { perSecond: number; limit: number }): void {
    this.#limit = options.limit;
    const elapsedMs = Math.max(0, nowMs - this.#filledAtMs);
    this.#filledAtMs = Math.max(this.#filledAtMs, nowMs);
    this.add(options.perSecond * elapsedMs / 1_000);
  }

  /** Whether the tokens could be taken. */
  take(tokens: number): boolean {
    if (this.#tokens < tokens) {
      return false;
    }
    this.#tokens -= tokens;
    return true;
  }
}
