/**
 * Limits and periods of request routing.
 *
 * @module
 */

/** Limits and periods that routing decides by. */
export interface RoutingOptions {
  /**
   * A server that hasn't announced itself for this long gets no new calls.
   * Below 2 s, so that an instance that misses the announcement that a server
   * is leaving stops sending to it within 2 s.
   */
  readonly announcementLifetimeMs: number;
  /** An idle server that has been silent for longer than this is removed. */
  readonly removeAfterMs: number;
  /** How long past its call's deadline an attempt may hold its slot. */
  readonly attemptGraceMs: number;
  /** Consecutive failures after which a server is ejected. */
  readonly failuresToEject: number;
  /** A server is slow when its latency is over this many times the median. */
  readonly slowFactor: number;
  /** Answers needed before a server's latency is compared. */
  readonly minLatencySamples: number;
  /** A server with a latency up to this is never slow. */
  readonly slowFloorMs: number;
  /**
   * Wait before the first probe; doubles with every failed probe. Also how long
   * a failure raises a server's expected latency.
   */
  readonly probeDelayMs: number;
  readonly probeDelayLimitMs: number;
  /** How long a due probe is reserved for idempotent calls. */
  readonly nonIdempotentProbeDelayMs: number;
  /** Largest retry budget that may accumulate, in retries. */
  readonly retryTokens: number;
  /** Deviations above the mean service time that a call must have time for. */
  readonly serviceTimeDeviations: number;
  /** Largest byte budget for other regions that may accumulate, in seconds. */
  readonly crossRegionBurstSeconds: number;
  /** A load report of another data centre expires after this long. */
  readonly remoteLoadLifetimeMs: number;
  /**
   * How long after a start, or after a service is added, calls are queued
   * although no server is known yet.
   */
  readonly discoveryMs: number;
}

/** The defaults. */
export const DEFAULT_ROUTING_OPTIONS: RoutingOptions = {
  announcementLifetimeMs: 1_900,
  removeAfterMs: 60_000,
  attemptGraceMs: 5_000,
  failuresToEject: 3,
  slowFactor: 3,
  minLatencySamples: 5,
  slowFloorMs: 10,
  probeDelayMs: 1_000,
  probeDelayLimitMs: 30_000,
  nonIdempotentProbeDelayMs: 5_000,
  retryTokens: 10,
  serviceTimeDeviations: 1.5,
  crossRegionBurstSeconds: 1,
  remoteLoadLifetimeMs: 1_000,
  discoveryMs: 3_000,
};
