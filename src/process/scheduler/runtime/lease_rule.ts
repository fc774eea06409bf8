/**
 * How moments of the leader's clock become moments of a worker's clock, so
 * that a lease ends on the worker no later than the leader counts on.
 *
 * @module
 */

/** Two clocks read such that the worker's came first. */
export interface ClockAnchor {
  /** The worker's clock, read by the worker before it sent. */
  readonly workerClockMs: number;
  /** The leader's clock, read by the leader after it received. */
  readonly receivedAtMs: number;
}

/** Times and bounds of leases and calls. */
export interface LeaseOptions {
  /** How long a task may run without a renewal, or without its gang. */
  readonly leaseMs: number;
  /** How often leases are renewed. */
  readonly renewPeriodMs: number;
  /** How long one call to a worker may take. */
  readonly callTimeoutMs: number;
  /** How long a reservation holds without a start. */
  readonly reservationMs: number;
  /** How much faster or slower two clocks may run, as a fraction. */
  readonly clockDriftFraction: number;
  /** How long leadership must still hold for a call to be sent. */
  readonly leadershipMarginMs: number;
}

/** Leases and calls as the daemon uses them. */
export const LEASE_DEFAULTS: LeaseOptions = {
  leaseMs: 10_000,
  renewPeriodMs: 2_000,
  callTimeoutMs: 1_000,
  reservationMs: 5_000,
  clockDriftFraction: 0.001,
  leadershipMarginMs: 0,
};

/**
 * The moment of the worker's clock that comes no later than `atMs` of the
 * leader's, whatever the message takes and within the stated drift.
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
 * When every lease that an earlier leader granted has ended, by the clock of
 * a leader that began at `beganAtMs`.
 */
export function earlierLeasesEndMs(
  beganAtMs: number,
  options: { leaseMs: number; clockDriftFraction: number },
): number {
  return beganAtMs + options.leaseMs * (1 + 2 * options.clockDriftFraction);
}
