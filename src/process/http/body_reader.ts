/**
 * Reads a call's body whole, within its bounds of size, time and memory.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { Right } from "purify-ts/Either";
import type { Clock } from "../../base/clock.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { ByteBudget } from "./byte_budget.ts";

/** The bounds under which one body is read. */
export interface BodyReadOptions {
  readonly clock: Clock;
  readonly budget: ByteBudget;
  readonly limitBytes: number;
  readonly deadlineMs: number;
}

/** A body and the bytes of the budget that it holds. */
export interface ReadBody {
  readonly body: Uint8Array;
  /** Gives the bytes back to the budget; may be called twice. */
  release(): void;
}

/**
 * The whole body. `tooLarge` over the size, `slowCaller` past the deadline,
 * `overloaded` over the budget, `malformed` when the caller breaks off.
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
    detail: `The body is over ${limitBytes} bytes.`,
    facts: { limitBytes },
  });
}

const FIRST_BUFFER_BYTES = 4_096;

/** One body being read; small chunks are copied together as they come. */
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
    this.#declaredBytes = declaredBytesOf(request) ?? FIRST_BUFFER_BYTES;
    const leftMs = options.deadlineMs - options.clock.nowMs();
    this.#timer = options.clock.after(
      leftMs,
      () => this.#fail(failure("slowCaller")),
    );
    request.on("data", this.#onData);
    request.once("end", this.#onEnd);
    request.once("error", this.#onBreak);
    request.once("close", this.#onBreak);
  }

  #onData = (chunk: Uint8Array): void => {
    const lengthBytes = this.#lengthBytes + chunk.length;
    if (lengthBytes > this.#options.limitBytes) {
      this.#fail(tooLarge(this.#options.limitBytes));
      return;
    }
    if (!this.#makeRoom(lengthBytes)) {
      this.#fail(failure("overloaded", { detail: "Too many bytes are held." }));
      return;
    }
    this.#buffer.set(chunk, this.#lengthBytes);
    this.#lengthBytes = lengthBytes;
  };

  #makeRoom(lengthBytes: number): boolean {
    const oldBytes = this.#buffer.length;
    if (lengthBytes <= oldBytes) {
      return true;
    }
    const firstBytes = Math.min(this.#declaredBytes, FIRST_BUFFER_BYTES);
    const newBytes = Math.max(lengthBytes, oldBytes * 2, firstBytes);
    if (!this.#options.budget.take(newBytes - oldBytes)) {
      return false;
    }
    const grown = new Uint8Array(newBytes);
    grown.set(this.#buffer.subarray(0, this.#lengthBytes));
    this.#buffer = grown;
    return true;
  }

  #onEnd = (): void => {
    this.#detach();
    let heldBytes = this.#buffer.length;
    this.#resolve(Right({
      body: this.#buffer.subarray(0, this.#lengthBytes),
      release: () => {
        this.#options.budget.release(heldBytes);
        heldBytes = 0;
      },
    }));
  };

  #onBreak = (): void => {
    this.#fail(failure("malformed", { detail: "The body broke off." }));
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
    this.#request.off("error", this.#onBreak);
    this.#request.off("close", this.#onBreak);
    this.#request.on("error", () => undefined);
  }
}
