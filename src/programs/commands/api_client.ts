/**
 * The HTTP client with which the command-line tool calls instances.
 *
 * @module
 */

import { Left, Right } from "purify-ts/Either";
import { request } from "undici";
import { ERROR_ANSWERS, type ErrorKind } from "../../base/error_kind.ts";
import { failure, type Result, SesameError } from "../../base/sesame_error.ts";

/** Default address and timeout. */
export const API_CLIENT_DEFAULTS = {
  /** Address of the instance to call. */
  server: "127.0.0.1:7101",
  timeoutMs: 10_000,
} as const;

/** An HTTP call to an instance. */
export interface ApiCall {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
}

/** A complete HTTP response. */
export interface ApiAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Options of {@link ApiClient}. */
export interface ApiClientOptions {
  /** Addresses of instances, tried in order while connections are refused. */
  readonly servers: readonly string[];
  /** Timeout for the response headers, and for each gap in the body. */
  readonly timeoutMs?: number;
}

/** Calls instances over HTTP and returns their errors as {@link SesameError}. */
export class ApiClient {
  #servers: readonly string[];
  #timeoutMs: number;

  constructor(options: ApiClientOptions) {
    this.#servers = options.servers;
    this.#timeoutMs = options.timeoutMs ?? API_CLIENT_DEFAULTS.timeoutMs;
  }

  /** A client for one other instance, with the same timeout. */
  forServer(address: string): ApiClient {
    return new ApiClient({ servers: [address], timeoutMs: this.#timeoutMs });
  }

  /**
   * Makes the call. The next instance is tried only if the connection was
   * refused, so that no call is carried out twice.
   */
  async call(call: ApiCall): Promise<Result<ApiAnswer>> {
    let result: Result<ApiAnswer> = failure("unavailable", {
      detail: "no server address was given",
    });
    for (const server of this.#servers) {
      result = await this.#callServer(server, call);
      if (!isConnectionRefused(result)) {
        return result;
      }
    }
    return result;
  }

  /** Makes the call and parses the response body as JSON. */
  async json(call: ApiCall): Promise<Result<unknown>> {
    const answer = await this.call(call);
    return answer.chain(parseJson);
  }

  async #callServer(server: string, call: ApiCall): Promise<Result<ApiAnswer>> {
    try {
      const response = await request(`http://${server}${call.path}`, {
        method: call.method,
        headers: { ...call.headers },
        body: call.body ?? null,
        headersTimeout: this.#timeoutMs,
        bodyTimeout: this.#timeoutMs,
      });
      const text = await response.body.text();
      return toResult({
        status: response.statusCode,
        headers: response.headers,
        text,
      });
    } catch (error) {
      return toFailure(error, server);
    }
  }
}

function toResult(answer: ApiAnswer): Result<ApiAnswer> {
  if (answer.status < 400) {
    return Right(answer);
  }
  return Left(readError(answer));
}

/** The error in the response body; `internal` if it has no known kind. */
function readError(answer: ApiAnswer): SesameError {
  const body = parseJson(answer).orDefault(undefined);
  const error = (body as { error?: Record<string, unknown> })?.error;
  const kind = error?.["kind"];
  if (typeof kind === "string" && kind in ERROR_ANSWERS) {
    return new SesameError(kind as ErrorKind, {
      detail: String(error?.["detail"] ?? ""),
      ...(typeof error?.["location"] === "string"
        ? { location: error["location"] }
        : {}),
      facts: (error?.["facts"] ?? {}) as Record<string, unknown>,
    });
  }
  return new SesameError("internal", {
    detail: `HTTP status ${answer.status}: ${answer.text.slice(0, 200)}`,
  });
}

function parseJson(answer: ApiAnswer): Result<unknown> {
  try {
    return Right(JSON.parse(answer.text));
  } catch {
    return failure("internal", { detail: "the response is not JSON" });
  }
}

function toFailure(error: unknown, server: string): Result<ApiAnswer> {
  const code = (error as { code?: string }).code;
  if (code === "ECONNREFUSED") {
    return failure("unavailable", {
      detail: `${server}: connection refused`,
      facts: { isRefused: true },
    });
  }
  const detail = error instanceof Error ? error.message : String(error);
  return failure("outcomeUnknown", { detail: `${server}: ${detail}` });
}

function isConnectionRefused(result: Result<ApiAnswer>): boolean {
  return result.swap().map((error) => error.facts["isRefused"] === true)
    .orDefault(false);
}
