/**
 * Calls out over HTTP on connections that are kept.
 *
 * It uses the client library's dispatch interface: a call with a small body
 * and a small answer takes half the processor time of one with streams.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { Agent, type Dispatcher } from "undici";

/** What a caller is made from. */
export interface HttpCallerOptions {
  /** Connections to one address; calls on one of them wait for each other. */
  readonly connections: number;
  /** How long an idle connection is kept. */
  readonly keepAliveMs: number;
  /** How long a connection may take to open. */
  readonly connectTimeoutMs: number;
}

/** One call. */
export interface OutgoingCall {
  /** `HOST:PORT`. */
  readonly address: string;
  readonly method: "POST";
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | string;
  readonly timeoutMs: number;
}

/** The answer to one call. */
export interface IncomingAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** The call had no whole answer in its time; it may have been carried out. */
export class CallTimeoutError extends Error {
  override readonly name = "CallTimeoutError";
}

/** Makes calls, with a deadline each. */
export class HttpCaller {
  readonly #agent: Agent;

  constructor(
    { connections, keepAliveMs, connectTimeoutMs }: HttpCallerOptions,
  ) {
    this.#agent = new Agent({
      connections,
      pipelining: 1,
      keepAliveTimeout: keepAliveMs,
      keepAliveMaxTimeout: keepAliveMs,
      connect: { timeout: connectTimeoutMs },
    });
  }

  /** Rejects with the client library's error, or {@link CallTimeoutError}. */
  call(outgoing: OutgoingCall): Promise<IncomingAnswer> {
    const { address, method, path, headers, body, timeoutMs } = outgoing;
    return new Promise((resolve, reject) => {
      const pending = new PendingCall({ resolve, reject, timeoutMs });
      this.#agent.dispatch({
        origin: `http://${address}`,
        method,
        path,
        headers: { ...headers },
        body,
      }, pending);
    });
  }

  /** Gives up all calls and closes their connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

/** One call on its way. */
class PendingCall implements Dispatcher.DispatchHandler {
  readonly #resolve: (answer: IncomingAnswer) => void;
  readonly #reject: (error: Error) => void;
  readonly #timer: NodeJS.Timeout;
  readonly #chunks: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #givenUp: CallTimeoutError | undefined;

  constructor(options: {
    resolve: (answer: IncomingAnswer) => void;
    reject: (error: Error) => void;
    timeoutMs: number;
  }) {
    const { resolve, reject, timeoutMs } = options;
    this.#resolve = resolve;
    this.#reject = reject;
    this.#timer = setTimeout(
      () => this.#giveUp(timeoutMs),
      Math.ceil(timeoutMs),
    );
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#givenUp !== undefined) {
      controller.abort(this.#givenUp);
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
    clearTimeout(this.#timer);
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
    clearTimeout(this.#timer);
    this.#reject(error);
  }

  /** One that still waits for a connection is never sent. */
  #giveUp(timeoutMs: number): void {
    this.#givenUp = new CallTimeoutError(`no answer within ${timeoutMs} ms`);
    this.#controller?.abort(this.#givenUp);
    this.#reject(this.#givenUp);
  }
}
