/**
 * A count of bytes held, with an upper bound.
 *
 * @module
 */

/** Bytes that may be held at once; every `take` needs its `release`. */
export class ByteBudget {
  readonly #limitBytes: number;
  #heldBytes = 0;

  constructor(options: { limitBytes: number }) {
    this.#limitBytes = options.limitBytes;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Whether the bytes could be taken. */
  take(bytes: number): boolean {
    if (this.#heldBytes + bytes > this.#limitBytes) {
      return false;
    }
    this.#heldBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#heldBytes -= bytes;
  }
}
