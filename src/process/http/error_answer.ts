/**
 * Converts errors to HTTP answers.
 *
 * @module
 */

import { STATUS_CODES } from "node:http";
import type { SesameError } from "../../base/sesame_error.ts";
import { type HttpAnswer, jsonAnswer } from "./http_endpoint.ts";

/** The `Retry-After` header of retryable errors. */
const RETRY_AFTER_SECONDS = 1;

/** The JSON body of every error answer. */
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

/** The HTTP answer for an error. */
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
 * The error as a complete HTTP/1.1 response that closes the connection, for
 * input that Node could not parse as a request and for refused connections.
 */
export function errorBytes(error: SesameError): string {
  const { httpStatus } = error.answer;
  const body = JSON.stringify(errorBody(error)) + "\n";
  return [
    `HTTP/1.1 ${httpStatus} ${STATUS_CODES[httpStatus] ?? ""}`,
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
    ...(error.answer.isRetryable
      ? [`retry-after: ${RETRY_AFTER_SECONDS}`]
      : []),
    "connection: close",
    "",
    body,
  ].join("\r\n");
}
