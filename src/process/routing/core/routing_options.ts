/**
 * The constants of routing.
 *
 * @module
 */

/** How routing decides. */
export interface RoutingOptions {
  /** A server that hasn't announced itself for this long gets nothing new. */
  readonly announcementLifetimeMs: number;
  /** A server unheard of for this long is forgotten once it is idle. */
  readonly forgetAfterMs: number;
  /** How long past its call's deadline an attempt may hold its slot. */
  readonly attemptGraceMs: number;
  /** Failures in a row after which a server is ejected. */
  readonly failuresToEject: number;
  /** How many times the median latency makes a server slow. */
  readonly slowFactor: number;
  /** Answers of a server before its latency is judged. */
  readonly slowSamples: number;
  /** A server faster than this is never slow. */
  readonly slowFloorMs: number;
  /** The first wait before a probe; doubles with every failed probe. */
  readonly probeDelayMs: number;
  readonly probeDelayLimitMs: number;
  /** How long an idempotent call is waited for to be the probe. */
  readonly probePatienceMs: number;
  /** Retries that may be saved up. */
  readonly retryTokens: number;
  /** Deviations above the mean that a call must still have time for. */
  readonly serviceTimeDeviations: number;
  /** Most bytes of the region link that may be saved up, in seconds. */
  readonly crossRegionBurstSeconds: number;
  /** A report of another data centre's load counts for this long. */
  readonly remoteLoadLifetimeMs: number;
  /** How long calls are held when no server is known after a start. */
  readonly discoveryMs: number;
}

/** The constants where none are given. */
export const DEFAULT_ROUTING_OPTIONS: RoutingOptions = {
  announcementLifetimeMs: 1_900,
  forgetAfterMs: 60_000,
  attemptGraceMs: 5_000,
  failuresToEject: 3,
  slowFactor: 3,
  slowSamples: 5,
  slowFloorMs: 10,
  probeDelayMs: 1_000,
  probeDelayLimitMs: 30_000,
  probePatienceMs: 5_000,
  retryTokens: 10,
  serviceTimeDeviations: 1.5,
  crossRegionBurstSeconds: 1,
  remoteLoadLifetimeMs: 1_000,
  discoveryMs: 3_000,
};
