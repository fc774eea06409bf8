/**
 * Sends requests to backend servers, one at a time on a connection.
 *
 * @module
 */

import { Agent, type Dispatcher } from "undici";
import type { Clock } from "../../base/clock.ts";
import type { RequestRecord } from "../../request/request_record.ts";
import { RecentCorrelations } from "./answer_faults.ts";
import {
  type BackendAttempt,
  type BackendAttemptEnd,
  BackendExchange,
} from "./backend_exchange.ts";
import { RequestHeader } from "./request_headers.ts";

export type { BackendAttempt, BackendAttemptEnd } from "./backend_exchange.ts";

/** Options of a {@link BackendClient}. */
export interface BackendClientOptions {
  readonly clock: Clock;
  readonly connectionsPerServer: number;
  /** Called when a server sends bytes that no request is waiting for. */
  readonly onUnsolicitedInput?: () => void;
}

/** Idle connections are closed after this long, before servers close them. */
const KEEP_ALIVE_MS = 4_000;
const CONNECT_TIMEOUT_MS = 1_000;
const CORRELATION_LIMIT = 4_096;

/** Pooled connections to the backend servers. */
export class BackendClient {
  readonly #clock: Clock;
  readonly #agent: Agent;
  readonly #correlations = new RecentCorrelations({
    limit: CORRELATION_LIMIT,
  });

  constructor(options: BackendClientOptions) {
    this.#clock = options.clock;
    this.#agent = new Agent({
      connections: options.connectionsPerServer,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    this.#agent.on("disconnect", (_origin, _targets, error) => {
      if (isUnsolicitedInput(error)) {
        options.onUnsolicitedInput?.();
      }
    });
  }

  /** Sends the request once; doesn't retry. */
  send(attempt: BackendAttempt): Promise<BackendAttemptEnd> {
    return new Promise((resolve) => {
      const exchange = new BackendExchange({
        attempt,
        clock: this.#clock,
        correlations: this.#correlations,
        onEnded: resolve,
      });
      this.#agent.dispatch(this.#optionsOf(attempt), exchange);
    });
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #optionsOf({ record, address, correlationId }: BackendAttempt) {
    return {
      origin: `http://${address}`,
      path: record.path,
      method: "POST",
      headers: this.#headersOf(record, correlationId),
      body: record.body,
      headersTimeout: 0,
      bodyTimeout: 0,
    } satisfies Dispatcher.DispatchOptions;
  }

  #headersOf(
    record: RequestRecord,
    correlationId: string,
  ): Record<string, string> {
    const leftMs = Math.max(0, record.deadlineMs - this.#clock.nowMs());
    const headers: Record<string, string> = {
      [RequestHeader.correlation]: correlationId,
      [RequestHeader.requestId]: record.requestId,
      [RequestHeader.requestClass]: record.requestClass,
      [RequestHeader.timeoutMs]: String(Math.ceil(leftMs)),
      [RequestHeader.idempotent]: String(record.isIdempotent),
    };
    if (record.clientAccount !== undefined) {
      headers[RequestHeader.clientAccount] = record.clientAccount;
    }
    if (record.contentType !== undefined) {
      headers["content-type"] = record.contentType;
    }
    return headers;
  }
}

/**
 * Whether the connection closed on an HTTP parse error, which bytes from the
 * server cause while no request waits.
 */
function isUnsolicitedInput(error: unknown): boolean {
  const { code } = error as { code?: string };
  return code?.startsWith("HPE_") === true;
}
