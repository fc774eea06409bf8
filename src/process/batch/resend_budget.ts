/**
 * Limits how many calls are sent to an instance that has them already.
 *
 * @module
 */

/** The share of answered calls that may be sent again. */
const RESENDS_PER_ANSWER = 0.1;

/** Resends that are possible before any call was answered, and at once. */
const RESEND_LIMIT = 3;

/**
 * Earned by answers: if single connections are lost, their calls are sent again;
 * if an instance can't keep up, its load doesn't grow with its delay.
 */
export class ResendBudget {
  #available = RESEND_LIMIT;

  /** Records that a call was answered. */
  earn(): void {
    this.#available = Math.min(
      RESEND_LIMIT,
      this.#available + RESENDS_PER_ANSWER,
    );
  }

  /** Whether a call may be sent again now; counts it as sent if so. */
  take(): boolean {
    if (this.#available < 1) {
      return false;
    }
    this.#available -= 1;
    return true;
  }
}
