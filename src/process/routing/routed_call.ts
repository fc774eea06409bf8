/**
 * One request on its way through routing, from arrival till nothing more can
 * become known of it.
 *
 * @module
 */

import { Left, Right } from "purify-ts/Either";
import type { BackendServerId } from "../../base/identity.ts";
import type { Result, SesameError } from "../../base/sesame_error.ts";
import type {
  RequestRecord,
  ServerAnswer,
} from "../../request/request_record.ts";
import { AttemptResult } from "./core/mod.ts";

/** A server's answer with its server. */
export interface RoutedAnswer {
  readonly answer: ServerAnswer;
  readonly serverId: BackendServerId;
}

/** What in the end became known of a request. */
export type FinalKnowledge =
  | { readonly kind: "answered"; readonly routed: RoutedAnswer }
  | { readonly kind: "unknown" }
  | { readonly kind: "notRun" };

/** A request's end for its caller, and what becomes known later. */
export interface RoutedEnd {
  readonly result: Result<RoutedAnswer>;
  /** Settles when every attempt has ended. */
  readonly knowledge: Promise<FinalKnowledge>;
}

/** The bookkeeping of one request. */
export class OpenCall {
  readonly record: RequestRecord;
  readonly end: Promise<RoutedEnd>;
  readonly #resolveEnd: (end: RoutedEnd) => void;
  readonly #knowledge: Promise<FinalKnowledge>;
  #resolveKnowledge: (knowledge: FinalKnowledge) => void = () => undefined;
  #attempts = 0;
  #mayHaveRun = false;
  #answer: RoutedAnswer | undefined;
  #hasEnded = false;

  constructor(record: RequestRecord) {
    this.record = record;
    let resolveEnd: (end: RoutedEnd) => void = () => undefined;
    this.end = new Promise((resolve) => {
      resolveEnd = resolve;
    });
    this.#resolveEnd = resolveEnd;
    this.#knowledge = new Promise((resolve) => {
      this.#resolveKnowledge = resolve;
    });
  }

  /** Whether its caller has got its end. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Whether nothing more can become known. */
  get isSettled(): boolean {
    return this.#hasEnded && this.#attempts === 0;
  }

  attemptStarted(): void {
    this.#attempts += 1;
  }

  attemptEnded(
    result: AttemptResult,
    routed: RoutedAnswer | undefined,
  ): void {
    this.#attempts -= 1;
    this.#mayHaveRun ||= result !== AttemptResult.notSent;
    this.#answer = routed ?? this.#answer;
    this.#settle();
  }

  endWithAnswer(routed: RoutedAnswer): void {
    this.#end(Right(routed));
  }

  endWithError(error: SesameError): void {
    this.#end(Left(error));
  }

  #end(result: Result<RoutedAnswer>): void {
    this.#hasEnded = true;
    this.#resolveEnd({ result, knowledge: this.#knowledge });
    this.#settle();
  }

  #settle(): void {
    if (!this.isSettled) {
      return;
    }
    if (this.#answer !== undefined) {
      this.#resolveKnowledge({ kind: "answered", routed: this.#answer });
    } else {
      this.#resolveKnowledge({
        kind: this.#mayHaveRun ? "unknown" : "notRun",
      });
    }
  }
}
