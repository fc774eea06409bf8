/**
 * Estimates the heap that a request takes from its head to its answer, and
 * limits the total of these estimates.
 *
 * @module
 */

import { getHeapStatistics } from "node:v8";

/**
 * Node's objects of a request and a response, 8 kB as measured on Node 20, and
 * those of the exchange.
 */
const REQUEST_BYTES = 10_240;

/**
 * A header line becomes two strings in an array, and a property of an object:
 * 50 to 115 bytes in the heaps of Node 20, and more until the next collection.
 */
const HEADER_LINE_BYTES = 160;

/** Text is held as strings and, until the parser copied it, as input. */
const HEADER_TEXT_FACTOR = 2;

/** A request that is estimated at less is ordinary. */
const ORDINARY_BYTES = 49_152;

/** The share of the memory that only ordinary first requests may take. */
const ORDINARY_SHARE = 0.5;

/** The estimated heap of a request with this head. */
export function estimateRequestBytes(
  head: { readonly bytes: number; readonly lines: number },
): number {
  return REQUEST_BYTES + estimateLineBytes(head);
}

/** The estimated heap of header or trailer lines, or of the lines of chunks. */
export function estimateLineBytes(
  text: { readonly bytes: number; readonly lines: number },
): number {
  return text.bytes * HEADER_TEXT_FACTOR + text.lines * HEADER_LINE_BYTES;
}

/** A share of this process's heap limit, and at most `limitBytes`. */
export function shareOfHeap(
  options: { share: number; limitBytes: number },
): number {
  const heapBytes = getHeapStatistics().heap_size_limit;
  return Math.min(options.limitBytes, Math.floor(heapBytes * options.share));
}

/** Limits the memory of all requests of one server. */
export class RequestMemory {
  readonly #limitBytes: number;
  #reservedBytes = 0;

  constructor(options: { limitBytes: number }) {
    this.#limitBytes = options.limitBytes;
  }

  get reservedBytes(): number {
    return this.#reservedBytes;
  }

  /**
   * Reserves the bytes, or returns false if the limit would be exceeded. Half
   * of the memory is for the first request of a connection, if it is of an
   * ordinary size: pipelined and very large requests can't use up what other
   * callers need.
   */
  reserve(bytes: number, options: { isFirst: boolean }): boolean {
    const isOrdinary = options.isFirst && bytes <= ORDINARY_BYTES;
    const limitBytes = this.#limitBytes * (isOrdinary ? 1 : ORDINARY_SHARE);
    // A single request of the largest size is served by every process.
    if (this.#reservedBytes > 0 && this.#reservedBytes + bytes > limitBytes) {
      return false;
    }
    this.#reservedBytes += bytes;
    return true;
  }

  /** Reserves bytes that are in use already. */
  reserveAlways(bytes: number): void {
    this.#reservedBytes += bytes;
  }

  release(bytes: number): void {
    this.#reservedBytes -= bytes;
  }
}
