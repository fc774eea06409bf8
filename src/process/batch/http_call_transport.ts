/**
 * Sends calls between instances over HTTP with `msgpackr` bodies.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import { Right } from "purify-ts/Either";
import type { Clock } from "../../base/clock.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import { CallUnsentError, HttpClient, type HttpEndpoint } from "../http/mod.ts";
import type { JobAnswer, JobCall } from "./job_call.ts";
import type { CallOptions, CallTransport } from "./call_transport.ts";

/** The path at which an instance accepts calls for the leader. */
const CALLS_PATH = "/internal/batch/calls";

/** The largest call: a job's steps and payload, with a margin. */
const CALL_LIMIT_BYTES = 1_048_576;

/**
 * Connections to one instance; calls on one connection wait for each other.
 * Submissions have their own, as each waits for a commit: a read, a cancel or a
 * ping doesn't wait behind hundreds of them.
 */
const CONNECTIONS = { submissions: 8, otherCalls: 4 } as const;

/** How long an idle connection is kept open. */
const KEEP_ALIVE_MS = 20_000;

/** Timeout for opening a connection: six times the longest one-way latency. */
const CONNECT_TIMEOUT_MS = 250;

/** A call as sent to another instance. */
type SentCall = JobCall & {
  /** When it was sent, by the sender's clock; older instances send none. */
  readonly sentAtMs?: number;
};

/** Options of {@link HttpCallTransport}. */
export interface HttpCallTransportOptions {
  readonly clock: Clock;
  /** The address at which an instance accepts calls. */
  readonly addressOf: (instanceId: string) => string;
  /** Timeout for opening a connection. */
  readonly connectTimeoutMs?: number;
}

/** Sends calls to other instances. */
export class HttpCallTransport implements CallTransport {
  readonly #options: HttpCallTransportOptions;
  readonly #submissions: HttpClient;
  readonly #otherCalls: HttpClient;

  constructor(options: HttpCallTransportOptions) {
    this.#options = options;
    const { connectTimeoutMs = CONNECT_TIMEOUT_MS } = options;
    const shared = { keepAliveMs: KEEP_ALIVE_MS, connectTimeoutMs };
    this.#submissions = new HttpClient({
      ...shared,
      connections: CONNECTIONS.submissions,
    });
    this.#otherCalls = new HttpClient({
      ...shared,
      connections: CONNECTIONS.otherCalls,
    });
  }

  async call(
    instanceId: string,
    call: JobCall,
    options: CallOptions,
  ): Promise<Result<JobAnswer>> {
    const address = this.#options.addressOf(instanceId);
    const client = call.kind === "submit"
      ? this.#submissions
      : this.#otherCalls;
    try {
      const { status, body } = await client.call({
        address,
        method: "POST",
        path: CALLS_PATH,
        headers: { "content-type": "application/msgpack" },
        body: pack(
          {
            ...call,
            sentAtMs: this.#options.clock.nowMs(),
          } satisfies SentCall,
        ),
        ...options,
      });
      return status === 200
        ? Right(unpack(body) as JobAnswer)
        : failure("outcomeUnknown", { detail: `HTTP status ${status}` });
    } catch (error) {
      return failure(wasNeverSent(error) ? "unavailable" : "outcomeUnknown", {
        detail: error instanceof Error ? error.message : String(error),
      });
    }
  }

  async close(): Promise<void> {
    await Promise.all([this.#submissions.close(), this.#otherCalls.close()]);
  }
}

/** Whether an error proves that no byte of a call was sent. */
export function wasNeverSent(error: unknown): boolean {
  if (error instanceof CallUnsentError) {
    return true;
  }
  const code = error instanceof Error && "code" in error
    ? error.code
    : undefined;
  return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" ||
    code === "EHOSTUNREACH" || code === "ENETUNREACH";
}

/** The endpoint that accepts calls of other instances. */
export function callsEndpoint(options: {
  clock: Clock;
  /** `caller` is aborted once the calling instance has given the call up. */
  answer: (call: JobCall, caller: AbortSignal) => Promise<JobAnswer>;
}): HttpEndpoint {
  return {
    method: "POST",
    path: CALLS_PATH,
    bodyLimitBytes: CALL_LIMIT_BYTES,
    handle: async ({ body, signal }) => {
      const call = byLocalClock(
        unpack(body) as SentCall,
        options.clock.nowMs(),
      );
      const answer = await options.answer(call, signal);
      return Right({
        status: 200,
        headers: { "content-type": "application/msgpack" },
        body: pack(answer),
      });
    },
  };
}

/**
 * The call with its times by the local clock. The sender's clock may be seconds
 * off, and stays so once its time of day was set forward; the time that a call
 * spent there doesn't depend on that.
 */
function byLocalClock(
  { sentAtMs, ...call }: SentCall,
  nowMs: number,
): JobCall {
  return call.kind === "submit" && sentAtMs !== undefined
    ? { ...call, receivedAtMs: call.receivedAtMs + nowMs - sentAtMs }
    : call;
}
