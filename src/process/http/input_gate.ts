/**
 * Decides how much of a connection's input Node's parser gets, and keeps the
 * reservations of the connection's requests.
 *
 * The parser gets one request head at a time, complete, after its memory was
 * reserved; the rest waits while too many requests have no written answer.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import {
  ChunkedBody,
  ChunkVerdict,
  type CountedRequest,
} from "./chunked_body.ts";
import { PendingRequests } from "./pending_requests.ts";
import { isChunked } from "./request_framing.ts";
import { InputPart, RequestInput } from "./request_input.ts";
import {
  estimateLineBytes,
  estimateRequestBytes,
  type RequestMemory,
} from "./request_memory.ts";
import type { TurnClient, TurnQueue } from "./turn_queue.ts";

/** Options of an {@link InputGate}. */
export interface InputGateOptions {
  readonly memory: RequestMemory;
  /** Divides the turns of the event loop among all connections. */
  readonly turns: TurnQueue;
  /** Maximum size of a head, and of the trailers of a request. */
  readonly headerBytes: number;
  /** Requests without a written answer; further ones wait in the socket. */
  readonly pendingRequests: number;
}

/** What happens to the input next. */
export const GateVerdict = {
  /** The parser gets the first bytes of the input. */
  pass: "pass",
  /** Nothing is passed on until a turn, an answer or more input comes. */
  wait: "wait",
  /** A head, or the trailers of a request, exceed the limit. */
  tooLarge: "tooLarge",
  /** There is no memory for what the connection sends. */
  overload: "overload",
} as const;
/** What happens to the input next. */
export type GateVerdict = (typeof GateVerdict)[keyof typeof GateVerdict];

/** A verdict, and how many bytes are passed on. */
export interface GateDecision {
  readonly verdict: GateVerdict;
  readonly bytes: number;
}

const WAIT: GateDecision = { verdict: GateVerdict.wait, bytes: 0 };
const TOO_LARGE: GateDecision = { verdict: GateVerdict.tooLarge, bytes: 0 };
const OVERLOAD: GateDecision = { verdict: GateVerdict.overload, bytes: 0 };

function pass(bytes: number): GateDecision {
  return { verdict: GateVerdict.pass, bytes };
}

/** The input and the requests of one connection. */
export class InputGate {
  readonly input = new RequestInput();
  readonly #options: InputGateOptions;
  readonly #client: TurnClient;
  readonly #pending = new PendingRequests();
  #current: CountedRequest | undefined;
  /** The body of the current request, if it comes in chunks. */
  #chunks: ChunkedBody | undefined;
  /** Reserved for a head that the parser hasn't completed. */
  #unclaimedBytes = 0;
  /** Whether the parser has the beginning of the current head. */
  #hasHeadBegun = false;
  /** Whether the answer to the latest request closes the connection. */
  #isLast = false;

  constructor(options: InputGateOptions, client: TurnClient) {
    this.#options = options;
    this.#client = client;
  }

  /** Requests whose answers aren't written yet. */
  get pendingRequests(): number {
    return this.#pending.size;
  }

  /** Whether some request without a written answer was read to its end. */
  get hasCompleteRequest(): boolean {
    return this.#pending.hasComplete;
  }

  /** Whether no request has begun and all answers are written. */
  get isIdle(): boolean {
    return this.#pending.size === 0 && !this.#hasHeadBegun &&
      this.input.length === 0;
  }

  /** Whether input waits for a turn, for an answer or for the parser. */
  get holdsInput(): boolean {
    return this.input.length > 0 && !this.#awaitsMoreOfHead;
  }

  /** Begins no further request. */
  stopAfterLatest(): void {
    this.#isLast = true;
  }

  isLatest(request: CountedRequest): boolean {
    return this.#current === request;
  }

  /** Notes a request that the parser has completed the head of. */
  begin(
    request: CountedRequest,
    response: ServerResponse,
    onClosed: () => void,
  ): void {
    const { memory, headerBytes: limitBytes } = this.#options;
    let bytes = this.#unclaimedBytes;
    this.#unclaimedBytes = 0;
    if (bytes === 0) {
      bytes = estimateRequestBytes({
        bytes: 0,
        lines: request.rawHeaders.length / 2,
      });
      memory.reserveAlways(bytes);
    }
    this.#pending.add(response, bytes, onClosed);
    this.#current = request;
    this.#hasHeadBegun = false;
    this.input.beginBody(request);
    this.#chunks?.close();
    this.#chunks = isChunked(request)
      ? new ChunkedBody({ request, memory, limitBytes })
      : undefined;
  }

  /** Releases a request whose answer is written; false if it isn't pending. */
  settle(response: ServerResponse): boolean {
    const bytes = this.#pending.remove(response);
    if (bytes === undefined) {
      return false;
    }
    this.#options.memory.release(bytes);
    if (this.#current === response.req && this.#current.complete) {
      // An idle connection would keep the headers of its last request.
      this.#current = undefined;
    }
    return true;
  }

  /** Releases all that is reserved, and drops the input. */
  close(): void {
    this.input.clear();
    this.#options.turns.leave(this.#client);
    this.#chunks?.close();
    this.#chunks = undefined;
    this.#current = undefined;
    const bytes = this.#unclaimedBytes + this.#pending.clear();
    this.#unclaimedBytes = 0;
    if (bytes > 0) {
      // The requests themselves are released by callbacks that come first.
      setImmediate(() => this.#options.memory.release(bytes));
    }
  }

  /** Gives the first bytes of the input to the parser. */
  passOn(bytes: number, parse: (slice: Buffer) => void): void {
    const request = this.#current;
    parse(this.input.take(bytes));
    if (request?.complete === true) {
      // Nothing reads trailers.
      request.rawTrailers = [];
    }
    if (this.#current?.complete === true) {
      this.#chunks?.close();
      this.#chunks = undefined;
      this.input.endChunks();
    }
  }

  /** Decides on the next part; `hasEnded` says that no more input comes. */
  decide({ hasEnded }: { hasEnded: boolean }): GateDecision {
    if (this.#isLast && this.#canDropInput) {
      this.input.clear();
      return WAIT;
    }
    switch (this.input.part) {
      case InputPart.head:
        return this.#decideOnHead(hasEnded);
      case InputPart.body: {
        const bytes = this.input.bodySliceBytes();
        return this.#options.turns.take(this.#client, bytes)
          ? pass(bytes)
          : WAIT;
      }
      case InputPart.chunks:
        return this.#decideOnChunks();
    }
  }

  get #awaitsMoreOfHead(): boolean {
    return this.input.part === InputPart.head && this.#hasHeadBegun &&
      this.#pending.size < this.#options.pendingRequests &&
      this.input.headBytes() === 0;
  }

  /** Whether no answer depends on the rest of the input. */
  get #canDropInput(): boolean {
    return this.input.part === InputPart.head || this.#pending.size === 0;
  }

  #decideOnHead(hasEnded: boolean): GateDecision {
    if (!this.#hasHeadBegun) {
      this.input.dropBlankLines();
    }
    const { length } = this.input;
    if (length === 0 || this.#pending.size >= this.#options.pendingRequests) {
      return WAIT;
    }
    const headBytes = this.input.headBytes();
    const isUnended = headBytes === 0;
    if ((isUnended ? length : headBytes) > this.#headLimitBytes) {
      return TOO_LARGE;
    }
    if (isUnended && !hasEnded) {
      // The parser's time limit for a head begins with the first byte. It gets
      // the rest once that is complete, as it makes strings of what it has.
      const isBeginning = !this.#hasHeadBegun;
      this.#hasHeadBegun = true;
      return isBeginning ? pass(1) : WAIT;
    }
    return this.#reserveHead(isUnended ? length : headBytes);
  }

  /** The limit of the rest of the head: the parser may have its first byte. */
  get #headLimitBytes(): number {
    return this.#options.headerBytes - (this.#hasHeadBegun ? 1 : 0);
  }

  #reserveHead(headBytes: number): GateDecision {
    const { memory, turns } = this.#options;
    const bytes = estimateRequestBytes({
      bytes: headBytes,
      lines: this.input.linesIn(headBytes),
    });
    if (!turns.take(this.#client, bytes)) {
      return WAIT;
    }
    const isFirst = this.#pending.size === 0;
    if (memory.reserve(bytes, { isFirst })) {
      this.#unclaimedBytes += bytes;
      this.#hasHeadBegun = true;
      return pass(headBytes);
    }
    // The next answer that is written makes room.
    return isFirst ? OVERLOAD : WAIT;
  }

  #decideOnChunks(): GateDecision {
    const bytes = this.input.bodySliceBytes();
    const part = { bytes, lines: this.input.linesIn(bytes) };
    if (!this.#options.turns.take(this.#client, estimateLineBytes(part))) {
      return WAIT;
    }
    const isFirst = this.#pending.size === 1;
    switch (this.#chunks?.reserve(part, { isFirst })) {
      case ChunkVerdict.tooLarge:
        return TOO_LARGE;
      case ChunkVerdict.overload:
        return OVERLOAD;
      default:
        return pass(bytes);
    }
  }
}
