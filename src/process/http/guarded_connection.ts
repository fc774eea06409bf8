/**
 * One accepted connection, behind limits on what it may have in progress.
 *
 * Node's HTTP parser takes all requests of a chunk of input at once, up to
 * thousands. This stream stands between the socket and the parser: it passes on
 * one request head at a time, after its memory was reserved, and holds back the
 * rest while the connection has too many requests without a written answer.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { ByteBudget } from "./byte_budget.ts";
import type { CountedRequest } from "./chunked_body.ts";
import { GateVerdict, InputGate, type InputGateOptions } from "./input_gate.ts";
import type { TurnClient } from "./turn_queue.ts";

/** Options of a {@link GuardedConnection}. */
export interface GuardedConnectionOptions extends InputGateOptions {
  readonly socket: Socket;
  /** Limits the input that all connections hold back. */
  readonly heldInput: ByteBudget;
  /** Called when there is no memory for what the connection sends. */
  readonly onOverload: (connection: GuardedConnection) => void;
  /** Called when a head, or the trailers of a request, exceed the limit. */
  readonly onHeadTooLarge: (connection: GuardedConnection) => void;
  /** Called when input was dropped, as too much is held back. */
  readonly onInputDropped: () => void;
}

/** The stream that the HTTP server uses in place of the socket. */
export class GuardedConnection extends Duplex implements TurnClient {
  readonly #options: GuardedConnectionOptions;
  readonly #socket: Socket;
  readonly #gate: InputGate;
  #hasEnded = false;
  #isFeeding = false;
  #isRefused = false;
  /** Whether input was dropped: closes once all answers are written. */
  #isDraining = false;
  /** Sent when all answers are written, before the connection closes. */
  #lastBytes: string | undefined;
  #heldBytes = 0;
  #isDetached = false;

  constructor(options: GuardedConnectionOptions) {
    super({ decodeStrings: false, emitClose: true });
    this.#options = options;
    this.#socket = options.socket;
    this.#gate = new InputGate(options, this);
    const socket = this.#socket;
    socket.on("data", this.#onData);
    socket.on("end", this.#onEnd);
    socket.on("error", this.#onError);
    socket.on("close", this.#onClose);
    socket.on("timeout", this.#onTimeout);
  }

  /** Requests whose answers aren't written yet. */
  get pendingRequests(): number {
    return this.#gate.pendingRequests;
  }

  /**
   * Notes a request that the parser has completed the head of, until its answer
   * is written. `onClosed` is called if the connection closes before: Node
   * doesn't tell the responses that wait behind another one.
   */
  begin(
    request: CountedRequest,
    response: ServerResponse,
    onClosed: () => void,
  ): void {
    this.#gate.begin(request, response, onClosed);
    response.once("close", () => this.#settle(response));
  }

  /** Whether no request has begun after this one. */
  isLatest(request: CountedRequest): boolean {
    return this.#gate.isLatest(request);
  }

  /**
   * Begins no further request, as the answer to the latest one closes the
   * connection: the answer to another one would be lost.
   */
  stopAfterLatest(): void {
    this.#gate.stopAfterLatest();
  }

  /** Whether no request has begun and all answers are written. */
  get isIdle(): boolean {
    return this.#gate.isIdle;
  }

  /** Whether nobody would miss an answer if the connection was closed. */
  get isUnused(): boolean {
    return this.#gate.pendingRequests === 0 && !this.#gate.holdsInput;
  }

  /**
   * Sends the last bytes on this connection, and takes no more input. Requests
   * that were read completely get their answers first: their caller would take
   * the bytes for the answer to the first of them.
   */
  refuse(bytes: string): void {
    if (this.#isRefused || this.#isDraining) {
      return;
    }
    if (this.#gate.hasCompleteRequest) {
      this.#lastBytes = bytes;
      this.#drain();
      return;
    }
    this.#isRefused = true;
    this.#gate.input.clear();
    this.#socket.resume();
    this.end(bytes, () => this.destroy());
  }

  /**
   * Gives the socket back, for a connection that is no longer HTTP, with the
   * input that the parser didn't get; emits "detach".
   */
  detach(): { readonly socket: Socket; readonly input: Buffer } {
    const input = this.#gate.input.take();
    this.#isDetached = true;
    this.#stopListening();
    this.#holdInput();
    this.#gate.close();
    this.#socket.setTimeout(0);
    this.emit("detach");
    return { socket: this.#socket, input };
  }

  /** As of a socket: the HTTP server limits idle connections with it. */
  setTimeout(durationMs: number): this {
    this.#socket.setTimeout(durationMs);
    return this;
  }

  /** As of a socket: closes once everything is written. */
  destroySoon(): void {
    if (this.writable) {
      this.end();
    }
    if (this.writableFinished) {
      this.destroy();
    } else {
      this.once("finish", () => this.destroy());
    }
  }

  override _read(): void {
    if (this.#gate.input.length > 0 || this.#hasEnded) {
      process.nextTick(() => this.#feed());
    }
  }

  override _write(
    chunk: Uint8Array | string,
    encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.#socket.write(chunk, encoding, done);
  }

  override _writev(
    chunks: { chunk: Uint8Array | string; encoding: BufferEncoding }[],
    done: (error?: Error | null) => void,
  ): void {
    this.#socket.cork();
    chunks.forEach(({ chunk, encoding }, at) => {
      const isLast = at === chunks.length - 1;
      this.#socket.write(chunk, encoding, isLast ? done : undefined);
    });
    this.#socket.uncork();
  }

  override _final(done: (error?: Error | null) => void): void {
    this.#socket.end(() => done());
  }

  override _destroy(
    error: Error | null,
    done: (error?: Error | null) => void,
  ): void {
    this.#gate.input.clear();
    this.#holdInput();
    if (!this.#isDetached) {
      this.#socket.destroy();
    }
    this.#gate.close();
    done(error);
  }

  #onData = (chunk: Buffer): void => {
    if (this.#isRefused || this.#isDraining) {
      return;
    }
    this.#gate.input.append(chunk);
    this.#feed();
  };

  #onEnd = (): void => {
    this.#hasEnded = true;
    this.#feed();
  };

  #onError = (error: Error): void => {
    this.destroy(error);
  };

  #onClose = (): void => {
    this.destroy();
  };

  #onTimeout = (): void => {
    if (!this.#gate.holdsInput) {
      this.emit("timeout");
    }
  };

  #stopListening(): void {
    this.#socket.off("data", this.#onData);
    this.#socket.off("end", this.#onEnd);
    this.#socket.off("error", this.#onError);
    this.#socket.off("close", this.#onClose);
    this.#socket.off("timeout", this.#onTimeout);
  }

  #settle(response: ServerResponse): void {
    if (!this.#gate.settle(response)) {
      return;
    }
    if (!response.writableFinished || this.#socket.destroyed) {
      // The connection is broken, and about to be closed.
      return;
    }
    if (this.#isDraining) {
      this.#endWhenDrained();
    } else if (this.#gate.input.length > 0 || this.#hasEnded) {
      this.#feed();
    }
  }

  /** Drops the input; the requests in progress still get their answers. */
  #dropInput(): void {
    this.#options.onInputDropped();
    this.#drain();
  }

  #drain(): void {
    this.#isDraining = true;
    this.#gate.input.clear();
    this.#holdInput();
    this.#socket.pause();
    this.#endWhenDrained();
  }

  #endWhenDrained(): void {
    if (this.#gate.pendingRequests > 0) {
      return;
    }
    if (this.#lastBytes !== undefined && this.writable) {
      this.end(this.#lastBytes);
    }
    this.destroySoon();
  }

  /** Adjusts the reservation for input; false if there is too much of it. */
  #holdInput(): boolean {
    const bytes = this.#gate.input.heldBytes;
    const { heldInput } = this.#options;
    if (bytes <= this.#heldBytes) {
      heldInput.release(this.#heldBytes - bytes);
    } else if (!heldInput.reserve(bytes - this.#heldBytes)) {
      return false;
    }
    this.#heldBytes = bytes;
    return true;
  }

  /** Continues with the input that waited for its turn. */
  onTurn(): void {
    this.#feed();
  }

  /** Passes input on for as long as the limits allow it. */
  #feed(): void {
    if (this.#isFeeding || this.#hasStopped) {
      return;
    }
    this.#isFeeding = true;
    try {
      this.#feedSlices();
    } finally {
      this.#isFeeding = false;
    }
    const hasChanged = this.#gate.input.length > 0 || this.#heldBytes > 0;
    if (hasChanged && !this.#isDetached && !this.#holdInput()) {
      this.#dropInput();
    }
  }

  /** Whether no more input may be passed on. */
  get #hasStopped(): boolean {
    return this.destroyed || this.#isDetached || this.#isRefused ||
      this.#isDraining;
  }

  #feedSlices(): void {
    const { input } = this.#gate;
    while (input.length > 0 && this.#canFeed && this.#passNext()) {
      if (this.#hasStopped) {
        return;
      }
    }
    if (this.#hasStopped) {
      return;
    }
    if (input.length === 0 && this.#hasEnded) {
      this.#hasEnded = false;
      this.push(null);
      return;
    }
    if (this.#gate.holdsInput) {
      this.#socket.pause();
    } else if (this.#socket.isPaused()) {
      this.#socket.resume();
    }
  }

  /** Whether the parser has taken all that it was given. */
  get #canFeed(): boolean {
    return this.readableFlowing !== false && this.readableLength === 0;
  }

  /** Passes the next part on; false if nothing is passed on now. */
  #passNext(): boolean {
    const { verdict, bytes } = this.#gate.decide({ hasEnded: this.#hasEnded });
    switch (verdict) {
      case GateVerdict.pass:
        this.#gate.passOn(bytes, (slice) => this.push(slice));
        return true;
      case GateVerdict.wait:
        return false;
      case GateVerdict.tooLarge:
        this.#options.onHeadTooLarge(this);
        return false;
      case GateVerdict.overload:
        this.#options.onOverload(this);
        return false;
    }
  }
}
