/**
 * The input of one connection that Node's parser doesn't have yet.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import {
  countBlankBytes,
  countLines,
  declaredBytes,
  findEmptyLineEnd,
  isChunked,
} from "./request_framing.ts";

/** The part of the input that the parser expects next. */
export const InputPart = {
  head: "head",
  /** A body of a known length. */
  body: "body",
  /** A body in chunks, and the trailers after it. */
  chunks: "chunks",
} as const;
/** The part of the input that the parser expects next. */
export type InputPart = (typeof InputPart)[keyof typeof InputPart];

const NO_INPUT = Buffer.alloc(0);

/**
 * How much of a body in chunks the parser gets at once. Each chunk costs a
 * callback, and each trailer two strings.
 */
const CHUNKS_SLICE_BYTES = 4_096;

/** Held input, and the part of a request that it begins with. */
export class RequestInput {
  #bytes: Buffer = NO_INPUT;
  #part: InputPart = InputPart.head;
  #bodyBytes = 0;

  get part(): InputPart {
    return this.#part;
  }

  get length(): number {
    return this.#bytes.length;
  }

  /** The memory that the input takes: slices keep the whole chunk. */
  get heldBytes(): number {
    return this.length === 0 ? 0 : this.#bytes.buffer.byteLength;
  }

  append(chunk: Buffer): void {
    this.#bytes = this.length === 0
      ? chunk
      : Buffer.concat([this.#bytes, chunk]);
  }

  /** Removes and returns the input from its beginning. */
  take(bytes = this.length): Buffer {
    const taken = this.#bytes.subarray(0, bytes);
    this.#bytes = bytes === this.length
      ? NO_INPUT
      : this.#bytes.subarray(bytes);
    if (this.#part === InputPart.body) {
      this.#bodyBytes -= bytes;
      this.#part = this.#bodyBytes > 0 ? InputPart.body : InputPart.head;
    }
    return taken;
  }

  clear(): void {
    this.#bytes = NO_INPUT;
  }

  /** Continues after the head of a request that the parser has completed. */
  beginBody(request: IncomingMessage): void {
    if (isChunked(request)) {
      this.#part = InputPart.chunks;
      return;
    }
    this.#bodyBytes = declaredBytes(request);
    this.#part = this.#bodyBytes > 0 ? InputPart.body : InputPart.head;
  }

  /** Continues with the next head after a body in chunks. */
  endChunks(): void {
    if (this.#part === InputPart.chunks) {
      this.#part = InputPart.head;
    }
  }

  /** Drops empty lines, which the parser ignores before a request. */
  dropBlankLines(): void {
    this.take(countBlankBytes(this.#bytes));
  }

  /** The length of the head; 0 until its end has arrived. */
  headBytes(): number {
    return findEmptyLineEnd(this.#bytes);
  }

  /** How much of the body that has arrived the parser may get at once. */
  bodySliceBytes(): number {
    if (this.#part === InputPart.body) {
      return Math.min(this.length, this.#bodyBytes);
    }
    const limitBytes = Math.min(this.length, CHUNKS_SLICE_BYTES);
    // The request may end there, and the next one needs a reservation.
    const endsAt = findEmptyLineEnd(this.#bytes.subarray(0, limitBytes));
    return endsAt === 0 ? limitBytes : endsAt;
  }

  /** The lines that end in the first bytes of the input. */
  linesIn(bytes: number): number {
    return countLines(this.#bytes, bytes);
  }
}
