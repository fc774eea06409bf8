/**
 * A limit on bytes per second.
 *
 * @module
 */

/** How much unused budget can accumulate, in seconds. */
const BURST_SECONDS = 0.25;

/**
 * Limits the rate of bytes. `take` may overdraw the bucket, which delays what
 * follows.
 */
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
