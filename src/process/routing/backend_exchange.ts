/**
 * One attempt on a backend server, from its dispatch to the last byte of the
 * answer.
 *
 * @module
 */

import type { Dispatcher } from "undici";
import type { Clock, Timer } from "../../base/clock.ts";
import type {
  RequestRecord,
  ServerAnswer,
} from "../../request/request_record.ts";
import { AnswerFault, type RecentCorrelations } from "./answer_faults.ts";
import { AttemptResult } from "./core/mod.ts";
import { RequestHeader } from "./request_headers.ts";

/** One attempt to send a request to a backend server. */
export interface BackendAttempt {
  readonly record: RequestRecord;
  readonly address: string;
  /** Unique over all instances and their restarts. */
  readonly correlationId: string;
  readonly giveUpAtMs: number;
  readonly answerLimitBytes: number;
}

/** How an attempt ended. */
export interface BackendAttemptEnd {
  readonly result: AttemptResult;
  /** Present when the result is `answered` or `serverError`. */
  readonly answer: ServerAnswer | undefined;
  readonly fault: AnswerFault | undefined;
}

/** Options of a {@link BackendExchange}. */
export interface BackendExchangeOptions {
  readonly attempt: BackendAttempt;
  readonly clock: Clock;
  readonly correlations: RecentCorrelations;
  readonly onEnded: (end: BackendAttemptEnd) => void;
}

/** Statuses that report a failure of the server, not of the request. */
const SERVER_ERROR_STATUSES: ReadonlySet<number> = new Set([
  500,
  502,
  503,
  504,
]);

/** Lower statuses are informational and don't end an exchange. */
const FIRST_FINAL_STATUS = 200;

/** Collects the answer to one attempt and rejects any other. */
export class BackendExchange implements Dispatcher.DispatchHandler {
  readonly #options: BackendExchangeOptions;
  readonly #timer: Timer;
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #contentType: string | undefined;
  readonly #chunks: Uint8Array[] = [];
  #lengthBytes = 0;
  #hasStarted = false;
  #hasEnded = false;

  constructor(options: BackendExchangeOptions) {
    this.#options = options;
    const { clock, attempt } = options;
    const leftMs = attempt.giveUpAtMs - clock.nowMs();
    this.#timer = clock.after(leftMs, () => this.#timeOut());
  }

  /** Called before the first byte is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#hasEnded) {
      controller.abort(new Error("attempt already ended"));
      return;
    }
    this.#controller = controller;
    this.#hasStarted = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status < FIRST_FINAL_STATUS) {
      return;
    }
    const fault = this.#headerFault(headers);
    if (fault !== undefined) {
      this.#reject(fault);
      return;
    }
    const contentType = headers["content-type"];
    this.#status = status;
    this.#contentType = typeof contentType === "string"
      ? contentType
      : undefined;
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    this.#lengthBytes += chunk.length;
    if (this.#lengthBytes > this.#options.attempt.answerLimitBytes) {
      this.#reject(AnswerFault.tooLarge);
      return;
    }
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    const isError = SERVER_ERROR_STATUSES.has(this.#status);
    this.#end({
      result: isError ? AttemptResult.serverError : AttemptResult.answered,
      answer: {
        requestId: this.#options.attempt.record.requestId,
        httpStatus: this.#status,
        contentType: this.#contentType,
        body: Buffer.concat(this.#chunks, this.#lengthBytes),
      },
      fault: undefined,
    });
  }

  onResponseError(): void {
    const isTruncated = this.#status !== 0;
    this.#fail(isTruncated ? AnswerFault.truncated : undefined);
  }

  #headerFault(
    headers: Record<string, string | string[] | undefined>,
  ): AnswerFault | undefined {
    const { attempt, correlations } = this.#options;
    const echoed = headers[RequestHeader.correlation];
    if (echoed !== attempt.correlationId) {
      return correlations.classify(
        typeof echoed === "string" ? echoed : undefined,
      );
    }
    const hasKnownEnd = headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
    return hasKnownEnd ? undefined : AnswerFault.truncated;
  }

  #reject(fault: AnswerFault): void {
    this.#fail(fault);
    this.#controller?.abort(new Error(fault));
  }

  #timeOut(): void {
    this.#fail(undefined);
    this.#controller?.abort(new Error("attempt timed out"));
  }

  /**
   * Ends the attempt without an answer. Before `onRequestStart` no byte was
   * written, and none will be.
   */
  #fail(fault: AnswerFault | undefined): void {
    const result = this.#hasStarted
      ? AttemptResult.ambiguous
      : AttemptResult.notSent;
    this.#end({ result, answer: undefined, fault });
  }

  #end(end: BackendAttemptEnd): void {
    if (this.#hasEnded) {
      return;
    }
    this.#hasEnded = true;
    this.#timer.close();
    const { correlations, attempt, onEnded } = this.#options;
    const isAnswered = end.answer !== undefined;
    correlations.record(
      attempt.correlationId,
      isAnswered ? "answered" : "unanswered",
    );
    onEnded(end);
  }
}
