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
  /** Called when the call has a connection and is about to be sent. */
  readonly onSending?: () => void;
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

/** No connection was free in time; the call was never sent. */
export class CallUnsentError extends CallTimeoutError {}

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
   * Rejects with undici's error, {@link CallTimeoutError},
   * {@link CallUnsentError} or {@link CallAbandonedError}.
   */
  call(outgoing: OutgoingCall): Promise<IncomingAnswer> {
    const { address, method, path, headers, body } = outgoing;
    return new Promise((resolve, reject) => {
      const pending = new PendingCall({ resolve, reject, outgoing });
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
  readonly #outgoing: OutgoingCall;
  readonly #chunks: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  /** Why nobody waits for the answer any more. */
  #endError: Error | undefined;

  constructor(options: {
    resolve: (answer: IncomingAnswer) => void;
    reject: (error: Error) => void;
    outgoing: OutgoingCall;
  }) {
    const { resolve, reject, outgoing } = options;
    this.#resolve = resolve;
    this.#reject = reject;
    this.#outgoing = outgoing;
    this.#timer = setTimeout(
      () => this.#timeOut(),
      Math.ceil(outgoing.timeoutMs),
    );
    outgoing.signal?.addEventListener("abort", this.#onAbort);
  }

  /**
   * After a turn that blocked the event loop, timers come before input: reads
   * the answers that have arrived meanwhile first.
   */
  #timeOut(): void {
    this.#lastRead = setImmediate(() => {
      const text = `no answer within ${this.#outgoing.timeoutMs} ms`;
      this.#end(
        this.#controller === undefined
          ? new CallUnsentError(text)
          : new CallTimeoutError(text),
      );
    });
  }

  #onAbort = (): void => {
    this.#end(new CallAbandonedError("the call was abandoned"));
  };

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#endError !== undefined) {
      controller.abort(this.#endError);
      return;
    }
    this.#outgoing.onSending?.();
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
    this.#outgoing.signal?.removeEventListener("abort", this.#onAbort);
  }
}
