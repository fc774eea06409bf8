/**
 * One sending to a backend server, from its dispatch to the last byte of the
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
import { AnswerFault, type CorrelationMemory } from "./answer_faults.ts";
import { AttemptResult } from "./core/mod.ts";
import { RequestHeader } from "./request_headers.ts";

/** One sending. */
export interface BackendAttempt {
  readonly record: RequestRecord;
  readonly address: string;
  /** Never used twice, over all instances and their runs. */
  readonly correlationId: string;
  readonly giveUpAtMs: number;
  readonly answerLimitBytes: number;
}

/** How a sending ended. */
export interface BackendAttemptEnd {
  readonly result: AttemptResult;
  /** Present when the result is `answered` or `serverError`. */
  readonly answer: ServerAnswer | undefined;
  readonly fault: AnswerFault | undefined;
}

/** What an exchange is built from. */
export interface BackendExchangeOptions {
  readonly attempt: BackendAttempt;
  readonly clock: Clock;
  readonly memory: CorrelationMemory;
  readonly onEnded: (end: BackendAttemptEnd) => void;
}

/** Statuses by which a server says that it failed, not the request. */
const SERVER_ERROR_STATUSES: ReadonlySet<number> = new Set([
  500,
  502,
  503,
  504,
]);

/** The first status that ends an exchange; those below inform only. */
const FIRST_FINAL_STATUS = 200;

/** Collects the answer to one sending and lets no other one through. */
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
    this.#timer = clock.after(leftMs, () => this.#giveUp());
  }

  /** Called before the first byte is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#hasEnded) {
      controller.abort(new Error("given up"));
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
    const fault = this.#faultOfHead(headers);
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
    const wasCut = this.#status !== 0;
    this.#fail(wasCut ? AnswerFault.truncated : undefined);
  }

  #faultOfHead(
    headers: Record<string, string | string[] | undefined>,
  ): AnswerFault | undefined {
    const { attempt, memory } = this.#options;
    const echoed = headers[RequestHeader.correlation];
    if (echoed !== attempt.correlationId) {
      return memory.classify(typeof echoed === "string" ? echoed : undefined);
    }
    const isFramed = headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
    return isFramed ? undefined : AnswerFault.truncated;
  }

  #reject(fault: AnswerFault): void {
    this.#fail(fault);
    this.#controller?.abort(new Error(fault));
  }

  #giveUp(): void {
    this.#fail(undefined);
    this.#controller?.abort(new Error("given up"));
  }

  /** Before the start no byte was written, and none will be. */
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
    const { memory, attempt, onEnded } = this.#options;
    const isAnswered = end.answer !== undefined;
    memory.remember(attempt.correlationId, isAnswered ? "answered" : "givenUp");
    onEnded(end);
  }
}
