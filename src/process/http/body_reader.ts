/**
 * Reads the complete body of a call within limits of size, time and memory.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { Right } from "purify-ts/Either";
import type { Clock } from "../../base/clock.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { ByteBudget } from "./byte_budget.ts";

/** The limits under which one body is read. */
export interface BodyReadOptions {
  readonly clock: Clock;
  readonly budget: ByteBudget;
  readonly limitBytes: number;
  readonly deadlineMs: number;
}

/** A body and its reservation in the {@link ByteBudget}. */
export interface ReadBody {
  readonly body: Uint8Array;
  /** Releases the reservation; further calls have no effect. */
  release(): void;
}

/**
 * Reads the complete body. Fails with `tooLarge` over `limitBytes`,
 * `slowCaller` after the deadline, `overloaded` when the budget is used up and
 * `malformed` when the connection closes before the end.
 */
export function readBody(
  request: IncomingMessage,
  options: BodyReadOptions,
): Promise<Result<ReadBody>> {
  if ((declaredBytesOf(request) ?? 0) > options.limitBytes) {
    return Promise.resolve(tooLarge(options.limitBytes));
  }
  return new Promise((resolve) => {
    new BodyRead(request, options, resolve);
  });
}

function declaredBytesOf(request: IncomingMessage): number | undefined {
  const declared = request.headers["content-length"];
  return declared === undefined ? undefined : Number(declared);
}

function tooLarge(limitBytes: number): Result<never> {
  return failure("tooLarge", {
    detail: `The body exceeds ${limitBytes} bytes.`,
    facts: { limitBytes },
  });
}

const INITIAL_BUFFER_BYTES = 4_096;

/** A body being read; its chunks are copied into one growing buffer. */
class BodyRead {
  readonly #request: IncomingMessage;
  readonly #options: BodyReadOptions;
  readonly #resolve: (result: Result<ReadBody>) => void;
  readonly #timer;
  readonly #declaredBytes: number;
  #buffer = new Uint8Array(0);
  #lengthBytes = 0;

  constructor(
    request: IncomingMessage,
    options: BodyReadOptions,
    resolve: (result: Result<ReadBody>) => void,
  ) {
    this.#request = request;
    this.#options = options;
    this.#resolve = resolve;
    this.#declaredBytes = declaredBytesOf(request) ?? INITIAL_BUFFER_BYTES;
    const remainingMs = options.deadlineMs - options.clock.nowMs();
    this.#timer = options.clock.after(
      remainingMs,
      () => this.#fail(failure("slowCaller")),
    );
    request.on("data", this.#onData);
    request.once("end", this.#onEnd);
    request.once("error", this.#onInterrupted);
    request.once("close", this.#onInterrupted);
  }

  #onData = (chunk: Uint8Array): void => {
    const lengthBytes = this.#lengthBytes + chunk.length;
    if (lengthBytes > this.#options.limitBytes) {
      this.#fail(tooLarge(this.#options.limitBytes));
      return;
    }
    if (!this.#ensureCapacity(lengthBytes)) {
      this.#fail(
        failure("overloaded", {
          detail: "Too many bytes of bodies and answers are in memory.",
        }),
      );
      return;
    }
    this.#buffer.set(chunk, this.#lengthBytes);
    this.#lengthBytes = lengthBytes;
  };

  #ensureCapacity(lengthBytes: number): boolean {
    const oldBytes = this.#buffer.length;
    if (lengthBytes <= oldBytes) {
      return true;
    }
    const initialBytes = Math.min(this.#declaredBytes, INITIAL_BUFFER_BYTES);
    const newBytes = Math.max(lengthBytes, oldBytes * 2, initialBytes);
    if (!this.#options.budget.reserve(newBytes - oldBytes)) {
      return false;
    }
    const grown = new Uint8Array(newBytes);
    grown.set(this.#buffer.subarray(0, this.#lengthBytes));
    this.#buffer = grown;
    return true;
  }

  #onEnd = (): void => {
    this.#detach();
    let reservedBytes = this.#buffer.length;
    this.#resolve(Right({
      body: this.#buffer.subarray(0, this.#lengthBytes),
      release: () => {
        this.#options.budget.release(reservedBytes);
        reservedBytes = 0;
      },
    }));
  };

  #onInterrupted = (): void => {
    this.#fail(
      failure("malformed", {
        detail: "The connection closed before the end of the body.",
      }),
    );
  };

  #fail(result: Result<never>): void {
    this.#detach();
    this.#options.budget.release(this.#buffer.length);
    this.#buffer = new Uint8Array(0);
    this.#resolve(result);
  }

  #detach(): void {
    this.#timer.close();
    this.#request.off("data", this.#onData);
    this.#request.off("end", this.#onEnd);
    this.#request.off("error", this.#onInterrupted);
    this.#request.off("close", this.#onInterrupted);
    this.#request.on("error", () => undefined);
  }
}
