/**
 * Judges callers' requests: each is done at most once, "not run" is true, and
 * each answer is its own.
 *
 * @module
 */

import { Execution } from "../../src/base/error_kind.ts";
import type { Result } from "../../src/base/sesame_error.ts";
import type { CallerAnswer } from "../../src/process/routing/request_service.ts";

/** What a backend server of the bed answers to a request. */
export function contentOf(requestId: string): string {
  return `answer to ${requestId}`;
}

/** Judges requests, all non-idempotent. */
export class RequestJudge {
  readonly violations: string[] = [];
  readonly #sendings = new Map<string, number>();
  readonly #openCalls = new Map<string, number>();

  /** A caller tries; the answer to this try is judged by the result. */
  begin(
    requestId: string,
  ): (result: Result<CallerAnswer>) => void {
    this.#count(this.#openCalls, requestId, 1);
    return (result) => {
      this.#count(this.#openCalls, requestId, -1);
      this.#judge(requestId, result);
    };
  }

  /** Whether the request reached a backend server. */
  isSent(requestId: string): boolean {
    return (this.#sendings.get(requestId) ?? 0) > 0;
  }

  /** A backend server gets the request. */
  noteSending(requestId: string): void {
    this.#count(this.#sendings, requestId, 1);
    if ((this.#sendings.get(requestId) ?? 0) > 1) {
      this.violations.push(`request ${requestId} was run twice`);
    }
    if ((this.#openCalls.get(requestId) ?? 0) === 0) {
      this.violations.push(`request ${requestId} ran after every try ended`);
    }
  }

  #judge(requestId: string, result: Result<CallerAnswer>): void {
    result.caseOf({
      Left: (error) => {
        const isRefused = error.answer.execution === Execution.notRun;
        if (isRefused && this.isSent(requestId)) {
          this.violations.push(`request ${requestId}: "not run" is untrue`);
        }
      },
      Right: ({ answer }) => {
        const text = new TextDecoder().decode(answer.body);
        if (text !== contentOf(requestId)) {
          this.violations.push(`request ${requestId} got: ${text}`);
        }
      },
    });
  }

  #count(counts: Map<string, number>, id: string, by: number): void {
    counts.set(id, (counts.get(id) ?? 0) + by);
  }
}
