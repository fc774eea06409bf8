/**
 * Where a request ends in its connection's input. Node's parser decides what the
 * request is; this only tells how much of the input to give it at once.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

const EMPTY_LINE = Buffer.from("\n\r\n");
const LENIENT_EMPTY_LINE = Buffer.from("\n\n");
const CARRIAGE_RETURN = 13;
const LINE_FEED = 10;

/** Whether a body follows the head of the request. */
export function hasBody(request: IncomingMessage): boolean {
  return isChunked(request) || declaredBytes(request) > 0;
}

/** Whether the body comes in chunks. */
export function isChunked({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined;
}

/** The length of a body that doesn't come in chunks. */
export function declaredBytes({ headers }: IncomingMessage): number {
  return Number(headers["content-length"] ?? 0);
}

/** The index after the first empty line; 0 if there is none. */
export function findEmptyLineEnd(input: Buffer): number {
  const strictAt = input.indexOf(EMPTY_LINE);
  const lenientAt = input.indexOf(LENIENT_EMPTY_LINE);
  if (lenientAt >= 0 && (strictAt < 0 || lenientAt < strictAt)) {
    return lenientAt + 2;
  }
  return strictAt < 0 ? 0 : strictAt + 3;
}

/** The carriage returns and line feeds at the beginning. */
export function countBlankBytes(input: Buffer): number {
  let at = 0;
  while (
    at < input.length &&
    (input[at] === CARRIAGE_RETURN || input[at] === LINE_FEED)
  ) {
    at++;
  }
  return at;
}

/** The lines that end before an index. */
export function countLines(input: Buffer, endAt: number): number {
  let lines = 0;
  for (let at = 0; at < endAt; at++) {
    lines += input[at] === LINE_FEED ? 1 : 0;
  }
  return lines;
}
