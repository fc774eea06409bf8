/**
 * How the parts of the daemon answer HTTP calls: each gives endpoints, and
 * the front collects them. Bodies are read whole, under the endpoint's limit,
 * before `handle` is called.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "../../base/sesame_error.ts";

/** What is known of a call before its body is read. */
export interface HttpCallHead {
  readonly method: string;
  readonly path: string;
  /** The named parts of the path, decoded. */
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly receivedAtMs: number;
}

/** A whole call. */
export interface HttpCall extends HttpCallHead {
  readonly body: Uint8Array;
  /** Aborted when the caller goes away before its answer. */
  readonly signal: AbortSignal;
}

/** A whole answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | string;
}

/** One method on one path, such as `/v1/jobs/:jobId`. */
export interface HttpEndpoint {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  /** The most bytes of a body; a function where the call decides. */
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
