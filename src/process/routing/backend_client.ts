/**
 * Sends requests to backend servers, one at a time on a connection, and lets
 * only the whole answer to that very request through.
 *
 * @module
 */

import { Agent, type Dispatcher } from "undici";
import type { Clock } from "../../base/clock.ts";
import type {
  RequestRecord,
  ServerAnswer,
} from "../../request/request_record.ts";
import { AnswerFault, CorrelationMemory } from "./answer_faults.ts";
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

/** What a client is built from. */
export interface BackendClientOptions {
  readonly clock: Clock;
  readonly connectionsPerServer: number;
  /** Called for input that no request was waiting for. */
  readonly onStrayInput?: () => void;
}

/** An idle connection is closed before servers close it themselves. */
const KEEP_ALIVE_MS = 4_000;
const CONNECT_MS = 1_000;
const CORRELATIONS_REMEMBERED = 4_096;

/** Statuses by which a server says that it failed, not the request. */
const SERVER_ERROR_STATUSES: ReadonlySet<number> = new Set([
  500,
  502,
  503,
  504,
]);

/** The connections to the backend servers. */
export class BackendClient {
  readonly #clock: Clock;
  readonly #agent: Agent;
  readonly #memory = new CorrelationMemory({ limit: CORRELATIONS_REMEMBERED });

  constructor(options: BackendClientOptions) {
    this.#clock = options.clock;
    this.#agent = new Agent({
      connections: options.connectionsPerServer,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: CONNECT_MS },
    });
    this.#agent.on("disconnect", (_origin, _targets, error) => {
      if (isStrayInput(error)) {
        options.onStrayInput?.();
      }
    });
  }

  /** Sends once, and never again by itself. */
  async send(attempt: BackendAttempt): Promise<BackendAttemptEnd> {
    const abort = new AbortController();
    const leftMs = attempt.giveUpAtMs - this.#clock.nowMs();
    const timer = this.#clock.after(leftMs, () => abort.abort());
    const end = await this.#exchange(attempt, abort.signal);
    timer.close();
    const isAnswered = end.answer !== undefined;
    this.#memory.remember(
      attempt.correlationId,
      isAnswered ? "answered" : "givenUp",
    );
    return end;
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #exchange(
    attempt: BackendAttempt,
    signal: AbortSignal,
  ): Promise<BackendAttemptEnd> {
    let response: Dispatcher.ResponseData;
    try {
      response = await this.#agent.request(this.#requestOf(attempt, signal));
    } catch (error) {
      return ended(neverSent(error) ? AttemptResult.notSent : undefined);
    }
    const fault = this.#faultOfHead(response, attempt);
    if (fault !== undefined) {
      response.body.on("error", () => undefined);
      response.body.destroy();
      return ended(undefined, fault);
    }
    return await this.#readAnswer(response, attempt, signal);
  }

  #requestOf(attempt: BackendAttempt, signal: AbortSignal) {
    const { record } = attempt;
    const leftMs = Math.max(0, record.deadlineMs - this.#clock.nowMs());
    return {
      origin: `http://${attempt.address}`,
      path: record.path,
      method: "POST",
      headers: {
        [RequestHeader.correlation]: attempt.correlationId,
        [RequestHeader.requestId]: record.requestId,
        [RequestHeader.requestClass]: record.requestClass,
        [RequestHeader.timeoutMs]: String(Math.ceil(leftMs)),
        [RequestHeader.idempotent]: String(record.isIdempotent),
        ...(record.clientAccount === undefined
          ? {}
          : { [RequestHeader.clientAccount]: record.clientAccount }),
        ...(record.contentType === undefined
          ? {}
          : { "content-type": record.contentType }),
      },
      body: record.body,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    } as const;
  }

  #faultOfHead(
    { headers }: Dispatcher.ResponseData,
    attempt: BackendAttempt,
  ): AnswerFault | undefined {
    const echoed = headers[RequestHeader.correlation];
    if (echoed !== attempt.correlationId) {
      return this.#memory.classify(
        typeof echoed === "string" ? echoed : undefined,
      );
    }
    const isFramed = headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
    return isFramed ? undefined : AnswerFault.truncated;
  }

  async #readAnswer(
    response: Dispatcher.ResponseData,
    attempt: BackendAttempt,
    signal: AbortSignal,
  ): Promise<BackendAttemptEnd> {
    const chunks: Uint8Array[] = [];
    let lengthBytes = 0;
    try {
      for await (const chunk of response.body) {
        chunks.push(chunk);
        lengthBytes += chunk.length;
        if (lengthBytes > attempt.answerLimitBytes) {
          response.body.destroy();
          return ended(undefined, AnswerFault.tooLarge);
        }
      }
    } catch {
      return ended(
        undefined,
        signal.aborted ? undefined : AnswerFault.truncated,
      );
    }
    const { statusCode, headers } = response;
    const contentType = headers["content-type"];
    const isError = SERVER_ERROR_STATUSES.has(statusCode);
    return {
      result: isError ? AttemptResult.serverError : AttemptResult.answered,
      answer: {
        requestId: attempt.record.requestId,
        httpStatus: statusCode,
        contentType: typeof contentType === "string" ? contentType : undefined,
        body: Buffer.concat(chunks, lengthBytes),
      },
      fault: undefined,
    };
  }
}

function ended(
  result: AttemptResult | undefined,
  fault?: AnswerFault,
): BackendAttemptEnd {
  return {
    result: result ?? AttemptResult.ambiguous,
    answer: undefined,
    fault,
  };
}

/** Whether the connection failed before it was there. */
function neverSent(error: unknown): boolean {
  const { code, syscall } = error as { code?: string; syscall?: string };
  return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}

/** Whether a connection closed since bytes came that nobody awaited. */
function isStrayInput(error: unknown): boolean {
  const { code } = error as { code?: string };
  return code?.startsWith("HPE_") === true;
}
