/**
 * Sends requests to backend servers, one at a time on a connection.
 *
 * @module
 */

import { Agent, type Dispatcher } from "undici";
import type { Clock } from "../../base/clock.ts";
import type { RequestRecord } from "../../request/request_record.ts";
import { CorrelationMemory } from "./answer_faults.ts";
import {
  type BackendAttempt,
  type BackendAttemptEnd,
  BackendExchange,
} from "./backend_exchange.ts";
import { RequestHeader } from "./request_headers.ts";

export type { BackendAttempt, BackendAttemptEnd } from "./backend_exchange.ts";

/** What a client is built from. */
export interface BackendClientOptions {
  readonly clock: Clock;
  readonly connectionsPerServer: number;
  /** Called for input that no request was waiting for. */
  readonly onStrayInput?: () => void;
}

/** An idle connection is closed before servers close it themselves. */
const KEEP_ALIVE_MS = 4_000;
const CONNECT_MS = 1_000;
const CORRELATIONS_REMEMBERED = 4_096;

/** The connections to the backend servers. */
export class BackendClient {
  readonly #clock: Clock;
  readonly #agent: Agent;
  readonly #memory = new CorrelationMemory({ limit: CORRELATIONS_REMEMBERED });

  constructor(options: BackendClientOptions) {
    this.#clock = options.clock;
    this.#agent = new Agent({
      connections: options.connectionsPerServer,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: CONNECT_MS },
    });
    this.#agent.on("disconnect", (_origin, _targets, error) => {
      if (isStrayInput(error)) {
        options.onStrayInput?.();
      }
    });
  }

  /** Sends once, and never again by itself. */
  send(attempt: BackendAttempt): Promise<BackendAttemptEnd> {
    return new Promise((resolve) => {
      const exchange = new BackendExchange({
        attempt,
        clock: this.#clock,
        memory: this.#memory,
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

/** Whether a connection closed since bytes came that nobody awaited. */
function isStrayInput(error: unknown): boolean {
  const { code } = error as { code?: string };
  return code?.startsWith("HPE_") === true;
}
