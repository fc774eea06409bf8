/**
 * Endpoints that the subsystems of the daemon provide to its HTTP server. The
 * server reads the complete body, up to the endpoint's limit, before it calls
 * `handle`.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "../../base/sesame_error.ts";

/** A call before its body is read. */
export interface HttpCallHead {
  readonly method: string;
  readonly path: string;
  /** The decoded parameters of the path. */
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly receivedAtMs: number;
}

/** A call with its complete body. */
export interface HttpCall extends HttpCallHead {
  readonly body: Uint8Array;
  /** Aborted when the connection closes before the answer is sent. */
  readonly signal: AbortSignal;
}

/** The answer to a call. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | string;
}

/** Handles one method of one path, such as `/v1/jobs/:jobId`. */
export interface HttpEndpoint {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  /** Limit of the body's size; a function if it depends on the call. */
  readonly bodyLimitBytes: number | ((head: HttpCallHead) => number);
  handle(call: HttpCall): Promise<Result<HttpAnswer>>;
}

/** An answer with a JSON body. */
export function jsonAnswer(status: number, body: unknown): HttpAnswer {
  return {
    status,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body) + "\n",
  };
}
