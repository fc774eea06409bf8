/**
 * The bounds that the HTTP front keeps on every caller.
 *
 * @module
 */

/** Bounds of the HTTP front. */
export interface HttpLimits {
  /** Most connections that are served at once. */
  readonly connections: number;
  /** Connections beyond that number that still get a refusal in words. */
  readonly refusedConnections: number;
  /** Most calls that are held at once, over all connections. */
  readonly calls: number;
  /** Most calls held at once for one connection. */
  readonly callsPerConnection: number;
  /** Most bytes of a call's request line and headers. */
  readonly headerBytes: number;
  /** Most header fields of a call. */
  readonly headerFields: number;
  /** Most bytes of bodies and answers held at once, over all calls. */
  readonly heldBytes: number;
  /** How long the headers of a call may take. */
  readonly headerReadMs: number;
  /** How long the body of a call may take. */
  readonly bodyReadMs: number;
  /** How long a caller may take to read its answer. */
  readonly answerWriteMs: number;
  /** How long an idle connection stays open; callers are told. */
  readonly keepAliveMs: number;
  /** How long unread input is discarded after an early answer. */
  readonly lingerMs: number;
}

/** The bounds where none are given. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  connections: 2_000,
  refusedConnections: 100,
  calls: 4_096,
  callsPerConnection: 64,
  headerBytes: 16_384,
  headerFields: 100,
  heldBytes: 64 * 1_048_576,
  headerReadMs: 10_000,
  bodyReadMs: 10_000,
  answerWriteMs: 30_000,
  keepAliveMs: 5_000,
  lingerMs: 1_000,
};
