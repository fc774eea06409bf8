/**
 * Limits of the HTTP server.
 *
 * @module
 */

import { shareOfHeap } from "./request_memory.ts";

/** Limits of the HTTP server. */
export interface HttpLimits {
  /** Maximum number of connections served at once. */
  readonly connections: number;
  /**
   * Connections beyond `connections` that get an error answer. Further ones are
   * closed without an answer.
   */
  readonly refusedConnections: number;
  /** Maximum number of calls in progress on all connections. */
  readonly calls: number;
  /** Maximum number of calls in progress on one connection. */
  readonly callsPerConnection: number;
  /** Maximum size of a call's request line and headers. */
  readonly headerBytes: number;
  /**
   * Calls over `callsPerConnection` that are refused while earlier ones of the
   * connection are in progress. Further ones aren't read until those are
   * answered.
   */
  readonly refusedCallsPerConnection: number;
  /** Maximum estimated heap of all calls in progress, without their bodies. */
  readonly requestBytes: number;
  /** Maximum size of input that is read and not yet parsed. */
  readonly heldInputBytes: number;
  /** Maximum size of all bodies and answers in memory. */
  readonly heldBytes: number;
  /** How long the headers of a call may take to arrive. */
  readonly headerReadMs: number;
  /** How long a body may take to arrive after the headers. */
  readonly bodyReadMs: number;
  /** How long a caller may take to read its answer. */
  readonly answerWriteMs: number;
  /** How long an idle connection stays open; sent in `Keep-Alive`. */
  readonly keepAliveMs: number;
  /** How long the rest of a body is discarded after an early answer. */
  readonly lingerMs: number;
}

/** The default limits. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  connections: 2_000,
  refusedConnections: 100,
  calls: 4_096,
  callsPerConnection: 64,
  headerBytes: 16_384,
  refusedCallsPerConnection: 16,
  requestBytes: shareOfHeap({ share: 0.25, limitBytes: 64 * 1_048_576 }),
  heldInputBytes: shareOfHeap({ share: 0.25, limitBytes: 64 * 1_048_576 }),
  heldBytes: shareOfHeap({ share: 0.2, limitBytes: 64 * 1_048_576 }),
  headerReadMs: 10_000,
  bodyReadMs: 10_000,
  answerWriteMs: 30_000,
  keepAliveMs: 5_000,
  lingerMs: 1_000,
};
