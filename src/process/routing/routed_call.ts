/**
 * One request's course through routing, from its arrival until its final
 * outcome is known.
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

/** An answer and its server, or its data centre when it was forwarded. */
export interface RoutedAnswer {
  readonly answer: ServerAnswer;
  readonly serverId: BackendServerId;
}

/** What is known of a request once all its attempts have ended. */
export type FinalOutcome =
  | { readonly kind: "answered"; readonly routed: RoutedAnswer }
  | { readonly kind: "unknown" }
  | { readonly kind: "notRun" };

/** A request's result for its caller, and its final outcome. */
export interface RouteResult {
  readonly result: Result<RoutedAnswer>;
  /** Resolves when every attempt has ended. */
  readonly finalOutcome: Promise<FinalOutcome>;
}

/** Tracks the attempts and the result of one request. */
export class CallTracker {
  readonly record: RequestRecord;
  readonly routeResult: Promise<RouteResult>;
  readonly #resolveRouteResult: (result: RouteResult) => void;
  readonly #finalOutcome: Promise<FinalOutcome>;
  #resolveFinalOutcome: (outcome: FinalOutcome) => void = () => undefined;
  #openAttempts = 0;
  #mayHaveRun = false;
  #answer: RoutedAnswer | undefined;
  #hasEnded = false;

  constructor(record: RequestRecord) {
    this.record = record;
    let resolveRouteResult: (result: RouteResult) => void = () => undefined;
    this.routeResult = new Promise((resolve) => {
      resolveRouteResult = resolve;
    });
    this.#resolveRouteResult = resolveRouteResult;
    this.#finalOutcome = new Promise((resolve) => {
      this.#resolveFinalOutcome = resolve;
    });
  }

  /** Whether the caller has its result. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Whether the final outcome is known. */
  get isFinal(): boolean {
    return this.#hasEnded && this.#openAttempts === 0;
  }

  attemptStarted(): void {
    this.#openAttempts += 1;
  }

  attemptEnded(
    result: AttemptResult,
    routed: RoutedAnswer | undefined,
  ): void {
    this.#openAttempts -= 1;
    this.#mayHaveRun ||= result !== AttemptResult.notSent;
    this.#answer = routed ?? this.#answer;
    this.#resolveIfFinal();
  }

  endWithAnswer(routed: RoutedAnswer): void {
    this.#end(Right(routed));
  }

  endWithError(error: SesameError): void {
    this.#end(Left(error));
  }

  #end(result: Result<RoutedAnswer>): void {
    this.#hasEnded = true;
    this.#resolveRouteResult({ result, finalOutcome: this.#finalOutcome });
    this.#resolveIfFinal();
  }

  #resolveIfFinal(): void {
    if (!this.isFinal) {
      return;
    }
    if (this.#answer !== undefined) {
      this.#resolveFinalOutcome({ kind: "answered", routed: this.#answer });
    } else {
      this.#resolveFinalOutcome({
        kind: this.#mayHaveRun ? "unknown" : "notRun",
      });
    }
  }
}
