/**
 * Reserves what Node's parser keeps of a body in chunks: the trailers, until the
 * request is complete. Only the parser knows where the trailers begin, so
 * everything counts that it got since the latest byte of the body.
 *
 * @module
 */

import { IncomingMessage } from "node:http";
import { estimateLineBytes, type RequestMemory } from "./request_memory.ts";

/** A request that counts the bytes of its body as they arrive. */
export class CountedRequest extends IncomingMessage {
  #bodyBytes = 0;

  /** Bytes of the body that the parser has found. */
  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  override push(chunk: Uint8Array | null, encoding?: BufferEncoding): boolean {
    this.#bodyBytes += chunk?.length ?? 0;
    return super.push(chunk, encoding);
  }
}

/** Whether the next part of a body in chunks may be passed on. */
export const ChunkVerdict = {
  pass: "pass",
  /** The trailers or a chunk's extensions are too large. */
  tooLarge: "tooLarge",
  /** There is no memory for them. */
  overload: "overload",
} as const;
/** Whether the next part of a body in chunks may be passed on. */
export type ChunkVerdict = (typeof ChunkVerdict)[keyof typeof ChunkVerdict];

/** What the parser got of one body in chunks since the latest body byte. */
export class ChunkedBody {
  readonly #request: CountedRequest;
  readonly #memory: RequestMemory;
  readonly #limitBytes: number;
  #bodyBytes = 0;
  /** Passed on without a byte of the body, and reserved for its lines. */
  #framingBytes = 0;
  #reservedBytes = 0;

  constructor(options: {
    request: CountedRequest;
    memory: RequestMemory;
    /** The limit of trailers and extensions, the same as that of a head. */
    limitBytes: number;
  }) {
    this.#request = options.request;
    this.#memory = options.memory;
    this.#limitBytes = options.limitBytes;
  }

  get request(): CountedRequest {
    return this.#request;
  }

  /** Reserves the next part, or says why it may not be passed on. */
  reserve(
    part: { readonly bytes: number; readonly lines: number },
    options: { isFirst: boolean },
  ): ChunkVerdict {
    if (this.#request.bodyBytes > this.#bodyBytes) {
      this.#bodyBytes = this.#request.bodyBytes;
      this.close();
    }
    if (this.#framingBytes >= this.#limitBytes) {
      return ChunkVerdict.tooLarge;
    }
    const bytes = estimateLineBytes(part);
    if (!this.#memory.reserve(bytes, options)) {
      return ChunkVerdict.overload;
    }
    this.#framingBytes += part.bytes;
    this.#reservedBytes += bytes;
    return ChunkVerdict.pass;
  }

  /** Releases what is reserved. */
  close(): void {
    this.#memory.release(this.#reservedBytes);
    this.#reservedBytes = 0;
    this.#framingBytes = 0;
  }
}
