/**
 * Counts and logs the connections that a server closes because of a limit.
 *
 * @module
 */

import type { Clock } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import type { MetricsRegistry } from "./metrics_registry.ts";

/** Why a connection was refused or closed. */
export const RefusalReason = {
  /** Too many connections are open. */
  connections: "connections",
  /** The heads of requests in progress take too much memory. */
  requestMemory: "requestMemory",
  /** Too much input is held back. */
  heldInput: "heldInput",
  /** Bodies and answers take too much memory. */
  heldBytes: "heldBytes",
  /** The caller didn't read its answer in time. */
  unreadAnswer: "unreadAnswer",
  /** The headers are too large, too late or not valid HTTP/1.1. */
  invalidHead: "invalidHead",
  /** An unknown peer sent too much or took too long. */
  unknownPeer: "unknownPeer",
} as const;
/** Why a connection was refused or closed. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** More lines a second than this are left out, and their number is logged. */
const LINES_PER_SECOND = 10;
const SECOND_MS = 1_000;

/** Options of {@link ConnectionRefusals}. */
export interface ConnectionRefusalsOptions {
  readonly clock: Clock;
  readonly eventLog: EventLog;
  readonly metrics?: MetricsRegistry;
}

/**
 * Counts refused connections and logs each at most once: a connection is closed
 * with its refusal.
 */
export class ConnectionRefusals {
  readonly #options: ConnectionRefusalsOptions;
  #secondBeganAtMs = -Infinity;
  #lines = 0;
  #omitted = 0;

  constructor(options: ConnectionRefusalsOptions) {
    this.#options = options;
  }

  note(reason: RefusalReason): void {
    const { clock, eventLog, metrics } = this.#options;
    metrics?.counter("sesamethread_connections_refused_total", {
      help: "Connections refused or closed because of a limit, by reason.",
      labels: { reason },
    }).add();
    const nowMs = clock.nowMs();
    if (nowMs - this.#secondBeganAtMs >= SECOND_MS) {
      this.#secondBeganAtMs = nowMs;
      this.#lines = 0;
    }
    if (this.#lines >= LINES_PER_SECOND) {
      this.#omitted += 1;
      return;
    }
    this.#lines += 1;
    eventLog.emit("connectionRefused", { reason, omitted: this.#omitted });
    this.#omitted = 0;
  }
}
