/**
 * Writes log lines without blocking the event loop: if the reader stalls,
 * lines are dropped and counted.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { write } from "node:fs";

/**
 * The size of the queued lines beyond which new lines are dropped. Counted in
 * UTF-16 code units, which are bytes for ASCII text.
 */
const QUEUE_LIMIT_BYTES = 262_144;

/**
 * The most that one write holds, unless a single line is longer. Pipes take up
 * to 4 KiB as a whole, so that lines of several processes don't mix; some
 * readers drop what a longer write holds beyond the size of their buffer.
 */
const WRITE_LIMIT_BYTES = 4_096;

/** How long a write waits before it is tried again on a full pipe. */
const RETRY_DELAY_MS = 20;

/** Writes a chunk; calls `done` with the bytes written, or an error. */
export type WriteChunk = (
  chunk: Uint8Array,
  done: (error: Error | null, writtenBytes: number) => void,
) => void;

/** Options of a {@link LineWriter}. */
export interface LineWriterOptions {
  readonly write: WriteChunk;
  readonly limitBytes?: number;
  /** Calls back when a write to a full pipe is to be tried again. */
  readonly retryLater?: (retry: () => void) => void;
}

/** Writes lines through a bounded queue. */
export class LineWriter {
  readonly #write: WriteChunk;
  readonly #limitBytes: number;
  readonly #retryLater: (retry: () => void) => void;
  #queued: string[] = [];
  #queuedBytes = 0;
  #isWriting = false;
  #dropped = 0;

  constructor(options: LineWriterOptions) {
    this.#write = options.write;
    this.#retryLater = options.retryLater ?? retryAfterDelay;
    this.#limitBytes = options.limitBytes ?? QUEUE_LIMIT_BYTES;
  }

  /** A writer to a file descriptor; writes run off the event loop. */
  static toDescriptor(descriptor: number): LineWriter {
    return new LineWriter({
      write: (chunk, done) => write(descriptor, chunk, done),
    });
  }

  /** The number of lines dropped: the queue was full, or a write failed. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Queues a line without its line break; false if it was dropped. */
  push(line: string): boolean {
    if (this.#queuedBytes + line.length > this.#limitBytes) {
      this.#dropped += 1;
      return false;
    }
    this.#queued.push(line);
    this.#queuedBytes += line.length + 1;
    this.#writeQueued();
    return true;
  }

  #writeQueued(): void {
    if (this.#isWriting || this.#queued.length === 0) {
      return;
    }
    this.#isWriting = true;
    const lines = this.#queued.splice(0, this.#countInOneWrite());
    this.#writeAll(Buffer.from(lines.join("\n") + "\n", "utf8"));
  }

  /** How many of the queued lines one write holds; at least one. */
  #countInOneWrite(): number {
    let bytes = 0;
    const over = this.#queued.findIndex((line) => {
      bytes += Buffer.byteLength(line) + 1;
      return bytes > WRITE_LIMIT_BYTES;
    });
    return over < 0 ? this.#queued.length : Math.max(1, over);
  }

  #writeAll(chunk: Uint8Array): void {
    this.#write(chunk, (error, writtenBytes) => {
      if (isPipeFull(error)) {
        this.#retryLater(() => this.#writeAll(chunk));
        return;
      }
      if (error !== null) {
        this.#dropped += countLines(chunk);
      } else if (writtenBytes < chunk.length) {
        this.#writeAll(chunk.subarray(writtenBytes));
        return;
      }
      this.#isWriting = false;
      this.#queuedBytes = this.#queued.reduce(
        (sum, line) => sum + line.length + 1,
        0,
      );
      this.#writeQueued();
    });
  }
}

/**
 * Whether a write failed since a non-blocking pipe is full: none was written.
 * Importing `node:process` makes a pipe on standard output non-blocking.
 */
function isPipeFull(error: Error | null): boolean {
  return error !== null && "code" in error && error.code === "EAGAIN";
}

/** The process may end while it waits for a stalled reader. */
function retryAfterDelay(retry: () => void): void {
  setTimeout(retry, RETRY_DELAY_MS).unref();
}

const LINE_BREAK = 0x0a;

/** The lines that a chunk completes. */
function countLines(chunk: Uint8Array): number {
  return chunk.reduce(
    (lines, byte) => byte === LINE_BREAK ? lines + 1 : lines,
    0,
  );
}
