/**
 * Converts times of the leader's clock to times of a worker's clock, so that a
 * lease ends on the worker no later than the leader assumes.
 *
 * @module
 */

/** A pair of clock readings, of which the worker's was taken first. */
export interface ClockAnchor {
  /** The worker's clock, read by the worker before it sent a message. */
  readonly workerClockMs: number;
  /** The leader's clock, read by the leader after it received the message. */
  readonly receivedAtMs: number;
}

/** Durations and limits of leases and calls. */
export interface LeaseOptions {
  /** How long a task may run without a renewal, or without its whole gang. */
  readonly leaseMs: number;
  /** How often leases are renewed. */
  readonly renewPeriodMs: number;
  /** How long one call to a worker may take. */
  readonly callTimeoutMs: number;
  /** How long a reservation holds without a start. */
  readonly reservationMs: number;
  /** By which fraction the rates of two clocks may differ. */
  readonly clockDriftFraction: number;
  /** How long before leadership ends the leader's commands expire. */
  readonly leadershipMarginMs: number;
}

/** Defaults of {@link LeaseOptions}. */
export const LEASE_DEFAULTS: LeaseOptions = {
  leaseMs: 10_000,
  renewPeriodMs: 2_000,
  callTimeoutMs: 1_000,
  reservationMs: 5_000,
  clockDriftFraction: 0.001,
  leadershipMarginMs: 0,
};

/**
 * A time of the worker's clock that comes no later than `atMs` of the leader's
 * clock, whatever the delay of the anchor's message, as long as the clocks keep
 * to `clockDriftFraction`.
 */
export function toWorkerClockMs(
  atMs: number,
  options: { anchor: ClockAnchor; clockDriftFraction: number },
): number {
  const { anchor, clockDriftFraction } = options;
  const aheadMs = atMs - anchor.receivedAtMs;
  const slackMs = Math.abs(aheadMs) * clockDriftFraction;
  return anchor.workerClockMs + aheadMs - slackMs;
}

/**
 * When every lease granted by an earlier leader has expired, by the clock of
 * a leader that began at `beganAtMs`.
 */
export function earlierLeasesEndMs(
  beganAtMs: number,
  options: { leaseMs: number; clockDriftFraction: number },
): number {
  return beganAtMs + options.leaseMs * (1 + 2 * options.clockDriftFraction);
}
