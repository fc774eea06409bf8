/**
 * Errors of the closed list as HTTP answers.
 *
 * @module
 */

import { STATUS_CODES } from "node:http";
import type { SesameError } from "../../base/sesame_error.ts";
import { type HttpAnswer, jsonAnswer } from "./http_endpoint.ts";

/** Tells a refused caller when a retry may be worth it. */
const RETRY_AFTER_SECONDS = 1;

/** The body of every error, as JSON. */
export function errorBody(error: SesameError): unknown {
  return {
    error: {
      kind: error.kind,
      execution: error.answer.execution,
      detail: error.message,
      location: error.location,
      facts: error.facts,
    },
  };
}

/** What a caller gets for an error. */
export function errorAnswer(error: SesameError): HttpAnswer {
  const answer = jsonAnswer(error.answer.httpStatus, errorBody(error));
  if (!error.answer.isRetryable) {
    return answer;
  }
  const headers = {
    ...answer.headers,
    "retry-after": String(RETRY_AFTER_SECONDS),
  };
  return { ...answer, headers };
}

/**
 * The error as the bytes of a whole HTTP/1.1 answer that closes its
 * connection, for callers whose input never became a call.
 */
export function errorBytes(error: SesameError): string {
  const { httpStatus } = error.answer;
  const body = JSON.stringify(errorBody(error)) + "\n";
  return [
    `HTTP/1.1 ${httpStatus} ${STATUS_CODES[httpStatus] ?? ""}`,
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
    "connection: close",
    "",
    body,
  ].join("\r\n");
}
