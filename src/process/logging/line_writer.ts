/**
 * Writes log lines without ever holding up the loop: a reader that stalls
 * costs lines, not time, and what was dropped is counted.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { write } from "node:fs";

/** Lines that wait for the reader, in bytes, beyond which they are dropped. */
const WAITING_LIMIT_BYTES = 262_144;

/** Writes a chunk and says when it is out, or that it can't be. */
export type WriteChunk = (
  chunk: Uint8Array,
  done: (error: Error | null, writtenBytes: number) => void,
) => void;

/** A bounded writer of lines. */
export class LineWriter {
  readonly #write: WriteChunk;
  readonly #limitBytes: number;
  #waiting: string[] = [];
  #waitingBytes = 0;
  #isWriting = false;
  #dropped = 0;

  constructor(options: { write: WriteChunk; limitBytes?: number }) {
    this.#write = options.write;
    this.#limitBytes = options.limitBytes ?? WAITING_LIMIT_BYTES;
  }

  /** A writer to a file descriptor; the calls run beside the loop. */
  static toDescriptor(descriptor: number): LineWriter {
    return new LineWriter({
      write: (chunk, done) => write(descriptor, chunk, done),
    });
  }

  /** Lines dropped so far. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Takes a line without its end; false when it was dropped. */
  push(line: string): boolean {
    if (this.#waitingBytes + line.length > this.#limitBytes) {
      this.#dropped += 1;
      return false;
    }
    this.#waiting.push(line);
    this.#waitingBytes += line.length + 1;
    this.#pump();
    return true;
  }

  #pump(): void {
    if (this.#isWriting || this.#waiting.length === 0) {
      return;
    }
    this.#isWriting = true;
    const lines = this.#waiting;
    this.#waiting = [];
    this.#writeAll(Buffer.from(lines.join("\n") + "\n", "utf8"));
  }

  #writeAll(chunk: Uint8Array): void {
    this.#write(chunk, (error, writtenBytes) => {
      const left = error === null ? chunk.subarray(writtenBytes) : EMPTY;
      if (left.length > 0) {
        this.#writeAll(left);
        return;
      }
      this.#isWriting = false;
      this.#waitingBytes = this.#waiting.reduce(
        (sum, line) => sum + line.length + 1,
        0,
      );
      this.#pump();
    });
  }
}

const EMPTY = new Uint8Array(0);
