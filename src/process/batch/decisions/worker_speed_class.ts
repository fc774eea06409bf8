/**
 * Classifies a worker by its speed relative to the typical one of its service.
 *
 * Load condition: a pool of which some workers run at about half of the others'
 * speed, while estimates are off by up to nine tenths. A worker is classed only
 * once its measurements exclude the other class.
 *
 * @module
 */

/** The class of a worker's speed; unknown workers are treated as normal. */
export const SpeedClass = {
  slow: "slow",
  normal: "normal",
  unknown: "unknown",
} as const;

/** One of the values of {@link SpeedClass}. */
export type SpeedClass = typeof SpeedClass[keyof typeof SpeedClass];

/** A worker's class as stored in the replicated state. */
export interface WorkerSpeedRecord {
  readonly speedClass: SpeedClass;
  /** Relative to the typical speed of the service. */
  readonly speed: number;
}

/** What measurements say about a worker's speed. */
export interface SpeedEstimate {
  /** Relative to the typical speed of the service. */
  readonly speed: number;
  /** Standard deviation of the speed's natural logarithm. */
  readonly deviation: number;
  /** The number of jobs that were measured; vague ones count in part. */
  readonly jobs: number;
}

/**
 * A worker is slow only below this share of the typical speed. Deployments with
 * speeds of 0.8, 1 and 1.25 have no slow worker.
 */
export const SLOW_SPEED_SHARE = 0.6;

/** A slow worker becomes normal again only above this share. */
const RECOVERED_SPEED_SHARE = 0.7;

/** With fewer measured jobs than this a worker isn't classed as slow. */
const SLOW_JOBS_MIN = 3;

/** With fewer measured jobs than this a worker isn't classed as normal. */
const NORMAL_JOBS_MIN = 2;

/**
 * Standard deviations by which a speed must differ from a limit. A worker is
 * classed after every measurement: 1.5 made workers of 0.8 slow by chance.
 */
const DEVIATIONS = 2.5;

/** The next class of a worker; the present one while nothing excludes it. */
export function classifySpeed(
  current: SpeedClass,
  { speed, deviation, jobs }: SpeedEstimate,
): SpeedClass {
  const margin = Math.exp(DEVIATIONS * deviation);
  if (jobs >= SLOW_JOBS_MIN && speed * margin < SLOW_SPEED_SHARE) {
    return SpeedClass.slow;
  }
  const normalFrom = current === SpeedClass.slow
    ? RECOVERED_SPEED_SHARE
    : SLOW_SPEED_SHARE;
  return jobs >= NORMAL_JOBS_MIN && speed / margin > normalFrom
    ? SpeedClass.normal
    : current;
}

/** Whether a stored record can be used; later versions may add classes. */
export function isSpeedRecord(record: WorkerSpeedRecord): boolean {
  return Object.hasOwn(SpeedClass, record.speedClass) &&
    Number.isFinite(record.speed) && record.speed > 0;
}
