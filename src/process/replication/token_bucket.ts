/**
 * A byte budget over time.
 *
 * @module
 */

/** How much of the budget may be saved up, in seconds. */
const BURST_SECONDS = 0.25;

/** Lets bytes through at a rate; a debt delays what comes next. */
export class TokenBucket {
  #bytesPerSecond: number;
  #tokens: number;
  #updatedMs: number;

  constructor(options: { bytesPerSecond: number; nowMs: number }) {
    this.#bytesPerSecond = options.bytesPerSecond;
    this.#tokens = options.bytesPerSecond * BURST_SECONDS;
    this.#updatedMs = options.nowMs;
  }

  hasTokens(nowMs: number): boolean {
    this.#refill(nowMs);
    return this.#tokens > 0;
  }

  take(bytes: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#tokens -= bytes;
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    this.#updatedMs = nowMs;
    this.#tokens = Math.min(
      this.#bytesPerSecond * BURST_SECONDS,
      this.#tokens + this.#bytesPerSecond * elapsedMs / 1_000,
    );
  }
}
