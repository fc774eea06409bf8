/**
 * Checks callers' requests: each runs at most once, a request reported as "not
 * run" did not run, and each answer belongs to its request.
 *
 * @module
 */

import { Execution } from "../../src/base/error_kind.ts";
import type { Result } from "../../src/base/sesame_error.ts";
import type { CallerAnswer } from "../../src/process/routing/request_service.ts";

/** The answer of every simulated backend server to a request. */
export function expectedContent(requestId: string): string {
  return `answer to ${requestId}`;
}

/** Checks the requests of one history, all of them non-idempotent. */
export class RequestChecker {
  readonly violations: string[] = [];
  readonly #attempts = new Map<string, number>();
  readonly #callsInProgress = new Map<string, number>();

  /** Records a caller's try; call the returned function with its result. */
  beginCall(
    requestId: string,
  ): (result: Result<CallerAnswer>) => void {
    this.#count(this.#callsInProgress, requestId, 1);
    return (result) => {
      this.#count(this.#callsInProgress, requestId, -1);
      this.#checkResult(requestId, result);
    };
  }

  /** Whether the request was sent to a backend server. */
  isSent(requestId: string): boolean {
    return (this.#attempts.get(requestId) ?? 0) > 0;
  }

  /** Records that a backend server has received the request. */
  recordAttempt(requestId: string): void {
    this.#count(this.#attempts, requestId, 1);
    if ((this.#attempts.get(requestId) ?? 0) > 1) {
      this.violations.push(`request ${requestId} was run twice`);
    }
    if ((this.#callsInProgress.get(requestId) ?? 0) === 0) {
      this.violations.push(`request ${requestId} ran after every try ended`);
    }
  }

  #checkResult(requestId: string, result: Result<CallerAnswer>): void {
    result.caseOf({
      Left: (error) => {
        const claimsNotRun = error.answer.execution === Execution.notRun;
        if (claimsNotRun && this.isSent(requestId)) {
          this.violations.push(`request ${requestId}: "not run" is untrue`);
        }
      },
      Right: ({ answer }) => {
        const text = new TextDecoder().decode(answer.body);
        if (text !== expectedContent(requestId)) {
          this.violations.push(`request ${requestId} got: ${text}`);
        }
      },
    });
  }

  #count(counts: Map<string, number>, id: string, by: number): void {
    counts.set(id, (counts.get(id) ?? 0) + by);
  }
}
