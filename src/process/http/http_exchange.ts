/**
 * Processes one call, from its headers to the last byte of its answer.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Clock } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import { type Result, SesameError } from "../../base/sesame_error.ts";
import { type ReadBody, readBody } from "./body_reader.ts";
import type { ByteBudget } from "./byte_budget.ts";
import type { CountedRequest } from "./chunked_body.ts";
import {
  type ConnectionRefusals,
  RefusalReason,
} from "./connection_refusals.ts";
import type { EndpointMatch, EndpointTable } from "./endpoint_table.ts";
import { errorAnswer } from "./error_answer.ts";
import type { GuardedConnection } from "./guarded_connection.ts";
import type { HttpAnswer, HttpCallHead } from "./http_endpoint.ts";
import type { HttpLimits } from "./http_limits.ts";
import { hasBody } from "./request_framing.ts";

/** Options of {@link HttpExchange}. */
export interface HttpExchangeOptions {
  readonly request: CountedRequest;
  readonly response: ServerResponse;
  readonly table: EndpointTable;
  readonly clock: Clock;
  readonly eventLog: EventLog;
  readonly limits: HttpLimits;
  readonly budget: ByteBudget;
  readonly refusals: ConnectionRefusals;
  /** Whether the caller sent `Expect: 100-continue`. */
  readonly expectsContinue: boolean;
  readonly connection: GuardedConnection;
  /** Whether to close the connection after the answer. */
  readonly isClosing: () => boolean;
}

/**
 * Answers one call. Its promises resolve once the answer is written or
 * abandoned and the memory of body and answer is released.
 */
export class HttpExchange {
  readonly #options: HttpExchangeOptions;
  readonly #abort = new AbortController();
  #onAbandoned: () => void = () => undefined;

  constructor(options: HttpExchangeOptions) {
    this.#options = options;
    options.response.once("close", () => {
      if (!options.response.writableFinished) {
        this.#abort.abort();
      }
    });
    options.response.on("error", () => this.#abort.abort());
  }

  /**
   * Gives the call up, as its connection has closed. Node emits no event for a
   * response that waits behind an earlier one.
   */
  abandon(): void {
    this.#abort.abort();
    this.#onAbandoned();
  }

  /** Answers with the error, and its own status or the given one. */
  async refuse(error: SesameError, status?: number): Promise<void> {
    const answer = errorAnswer(error);
    const sent = status === undefined ? answer : { ...answer, status };
    await this.#write(sent, error);
  }

  /** Reads, handles and answers the call. */
  async run(): Promise<void> {
    const head = this.#readHead();
    const match = this.#findEndpoint(head);
    await match.caseOf({
      Left: (error) => this.refuse(error),
      Right: (found) => this.#runMatched(found, head),
    });
  }

  #findEndpoint(head: HttpCallHead): Result<EndpointMatch> {
    return this.#options.table.find(head.method, head.path);
  }

  #readHead(): HttpCallHead {
    const { request, clock } = this.#options;
    const target = request.url ?? "/";
    const queryAt = target.indexOf("?");
    return {
      method: request.method ?? "GET",
      path: queryAt < 0 ? target : target.slice(0, queryAt),
      query: new URLSearchParams(queryAt < 0 ? "" : target.slice(queryAt)),
      parameters: {},
      headers: request.headers,
      receivedAtMs: clock.nowMs(),
    };
  }

  async #runMatched(
    match: EndpointMatch,
    unmatchedHead: HttpCallHead,
  ): Promise<void> {
    const head = { ...unmatchedHead, parameters: match.parameters };
    const read = await this.#readBody(match, head);
    await read.caseOf({
      Left: (error) => this.refuse(error),
      Right: (body) => this.#handle(match, head, body),
    });
  }

  #readBody(
    { endpoint }: EndpointMatch,
    head: HttpCallHead,
  ): Promise<Result<ReadBody>> {
    const { request, response, clock, budget, limits } = this.#options;
    const limit = endpoint.bodyLimitBytes;
    const limitBytes = typeof limit === "function" ? limit(head) : limit;
    const declaredBytes = Number(request.headers["content-length"] ?? 0);
    if (this.#options.expectsContinue && declaredBytes <= limitBytes) {
      response.writeContinue();
    }
    const deadlineMs = head.receivedAtMs + limits.bodyReadMs;
    return readBody(request, { clock, budget, limitBytes, deadlineMs });
  }

  async #handle(
    { endpoint }: EndpointMatch,
    head: HttpCallHead,
    { body, release }: ReadBody,
  ): Promise<void> {
    const { signal } = this.#abort;
    try {
      const result = await endpoint.handle({ ...head, body, signal });
      release();
      await result.caseOf({
        Left: (error) => this.#write(errorAnswer(error), error),
        Right: (answer) => this.#write(answer),
      });
    } catch (thrown) {
      release();
      const detail = thrown instanceof Error ? thrown.message : String(thrown);
      const path = loggedPath(head.path);
      this.#options.eventLog.emit("callFailed", { path, detail });
      await this.refuse(new SesameError("internal"));
    }
  }

  async #write(answer: HttpAnswer, error?: SesameError): Promise<void> {
    const { request, response, eventLog, budget } = this.#options;
    if (error !== undefined) {
      const path = loggedPath(request.url);
      eventLog.emit("callRefused", { path, error: error.kind });
    }
    const isGone = response.destroyed || request.socket.destroyed;
    if (isGone || response.headersSent) {
      return;
    }
    const bytes = Buffer.byteLength(answer.body);
    if (!budget.reserve(bytes)) {
      this.#options.refusals.note(RefusalReason.heldBytes);
      eventLog.emit("answerAbandoned", { path: loggedPath(request.url) });
      request.socket.destroy();
      return;
    }
    await this.#send(answer, bytes);
    budget.release(bytes);
  }

  /** Resolves once the answer is written or the connection is closed. */
  async #send(answer: HttpAnswer, bytes: number): Promise<void> {
    const { request, response, clock, limits, eventLog } = this.#options;
    const { connection } = this.#options;
    // Node completes a request without a body only after it has announced it.
    const isUnread = !request.complete && hasBody(request);
    // The answers to requests that were taken on after this one come first.
    const shouldClose = isUnread ||
      (this.#options.isClosing() && connection.isLatest(request));
    if (shouldClose) {
      connection.stopAfterLatest();
    }
    const timer = clock.after(limits.answerWriteMs, () => {
      this.#options.refusals.note(RefusalReason.unreadAnswer);
      eventLog.emit("answerAbandoned", { path: loggedPath(request.url) });
      request.socket.destroy();
    });
    response.writeHead(answer.status, {
      ...answer.headers,
      "content-length": bytes,
      ...(shouldClose ? { connection: "close" } : {}),
    });
    const closed = new Promise<void>((resolve) => {
      response.once("finish", resolve);
      response.once("close", resolve);
      this.#onAbandoned = resolve;
    });
    response.end(answer.body);
    await closed;
    timer.close();
    if (isUnread) {
      this.#discardInput();
    }
  }

  /**
   * Discards the rest of the body for `lingerMs` before the socket is closed:
   * unread input would reset the connection, and the caller could lose the
   * answer.
   */
  #discardInput(): void {
    const { request, clock, limits } = this.#options;
    const { socket } = request;
    const timer = clock.after(limits.lingerMs, () => socket.destroy());
    socket.once("close", () => timer.close());
    request.resume();
  }
}

/** The longest path in a log line. */
const LOGGED_PATH_LENGTH = 200;

/**
 * The beginning of the path, for the log. It is copied: a slice would keep the
 * whole text of the request in memory for as long as the log keeps the event.
 */
export function loggedPath(path = ""): string {
  return Buffer.from(path.slice(0, LOGGED_PATH_LENGTH)).toString();
}
