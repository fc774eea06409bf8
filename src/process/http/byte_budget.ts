/**
 * Limits the memory that bodies and answers may take together.
 *
 * @module
 */

/** A limited number of bytes; every successful `reserve` needs a `release`. */
export class ByteBudget {
  readonly #limitBytes: number;
  #reservedBytes = 0;

  constructor(options: { limitBytes: number }) {
    this.#limitBytes = options.limitBytes;
  }

  get reservedBytes(): number {
    return this.#reservedBytes;
  }

  /** Reserves the bytes, or returns false if the limit would be exceeded. */
  reserve(bytes: number): boolean {
    if (this.#reservedBytes + bytes > this.#limitBytes) {
      return false;
    }
    this.#reservedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#reservedBytes -= bytes;
  }
}
