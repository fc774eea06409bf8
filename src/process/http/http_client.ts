/**
 * HTTP client with persistent connections.
 *
 * It uses undici's dispatch interface, since a call with a small body and a
 * small answer takes half the processor time of one with streams.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import Agent from "undici/lib/dispatcher/agent.js";

/** Options of {@link HttpClient}. */
export interface HttpClientOptions {
  /** Maximum per address; each connection carries one call at a time. */
  readonly connections: number;
  /** How long an idle connection stays open. */
  readonly keepAliveMs: number;
  /** How long a connection may take to open. */
  readonly connectTimeoutMs: number;
}

/** A call to send. */
export interface OutgoingCall {
  /** `HOST:PORT`. */
  readonly address: string;
  readonly method: "POST";
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | string;
  readonly timeoutMs: number;
  /** Abandons the call: nobody waits for its answer any more. */
  readonly signal?: AbortSignal;
}

/** The answer to one call. */
export interface IncomingAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** The answer was not complete in time; the call may have been executed. */
export class CallTimeoutError extends Error {
  override readonly name = "CallTimeoutError";
}

/** The call was abandoned; it may have been executed. */
export class CallAbandonedError extends Error {
  override readonly name = "CallAbandonedError";
}

/** Sends calls, each with its own timeout. */
export class HttpClient {
  readonly #agent: Agent;

  constructor(
    { connections, keepAliveMs, connectTimeoutMs }: HttpClientOptions,
  ) {
    this.#agent = new Agent({
      connections,
      pipelining: 1,
      keepAliveTimeout: keepAliveMs,
      keepAliveMaxTimeout: keepAliveMs,
      connect: { timeout: connectTimeoutMs },
    });
  }

  /**
   * Rejects with undici's error, {@link CallTimeoutError} or
   * {@link CallAbandonedError}.
   */
  call(outgoing: OutgoingCall): Promise<IncomingAnswer> {
    const { address, method, path, headers, body, timeoutMs, signal } =
      outgoing;
    return new Promise((resolve, reject) => {
      const pending = new PendingCall({ resolve, reject, timeoutMs, signal });
      this.#agent.dispatch({
        origin: `http://${address}`,
        method,
        path,
        headers: { ...headers },
        body,
      }, pending);
    });
  }

  /** Aborts all calls and closes their connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

/** A call that has not been answered yet. */
class PendingCall implements Dispatcher.DispatchHandler {
  readonly #resolve: (answer: IncomingAnswer) => void;
  readonly #reject: (error: Error) => void;
  readonly #timer: NodeJS.Timeout;
  #lastRead: NodeJS.Immediate | undefined;
  readonly #signal: AbortSignal | undefined;
  readonly #chunks: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  /** Why nobody waits for the answer any more. */
  #endError: Error | undefined;

  constructor(options: {
    resolve: (answer: IncomingAnswer) => void;
    reject: (error: Error) => void;
    timeoutMs: number;
    signal: AbortSignal | undefined;
  }) {
    const { resolve, reject, timeoutMs, signal } = options;
    this.#resolve = resolve;
    this.#reject = reject;
    this.#timer = setTimeout(
      () => this.#timeOut(timeoutMs),
      Math.ceil(timeoutMs),
    );
    this.#signal = signal;
    signal?.addEventListener("abort", this.#onAbort);
  }

  /**
   * After a turn that blocked the event loop, timers come before input: reads
   * the answers that have arrived meanwhile first.
   */
  #timeOut(timeoutMs: number): void {
    this.#lastRead = setImmediate(() =>
      this.#end(new CallTimeoutError(`no answer within ${timeoutMs} ms`))
    );
  }

  #onAbort = (): void => {
    this.#end(new CallAbandonedError("the call was abandoned"));
  };

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#endError !== undefined) {
      controller.abort(this.#endError);
    }
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    this.#status = statusCode;
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    this.#stopWaiting();
    const [first] = this.#chunks;
    const body = this.#chunks.length === 1 && first !== undefined
      ? first
      : Buffer.concat(this.#chunks);
    this.#resolve({ status: this.#status, body });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#stopWaiting();
    this.#reject(error);
  }

  /** Rejects the call. If it still waits for a connection, it is never sent. */
  #end(error: Error): void {
    this.#stopWaiting();
    this.#endError = error;
    this.#controller?.abort(error);
    this.#reject(error);
  }

  #stopWaiting(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#lastRead);
    this.#signal?.removeEventListener("abort", this.#onAbort);
  }
}
