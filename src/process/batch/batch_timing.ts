/**
 * Periods, timeouts and limits of the batch scheduler.
 *
 * @module
 */

/** Every period, timeout and limit, with its default. */
export const BATCH_TIMING = {
  /** The longest lease that workers accept; set by the deployment. */
  leaseLimitMs: 10_000,
  /**
   * The lease that a renewal grants. It has to outlast a change of leader,
   * which takes about 2.5 s, after a renewal that is up to 2 s old. The runs of
   * a lost worker can only be restarted after it.
   */
  leaseMs: 5_500,
  /** How long a worker may delay its answer to a renewal until a run ends. */
  reportWaitMs: 1_500,
  /** Timeout of a renewal, beyond its wait: a round trip and a stall. */
  reportSlackMs: 600,
  /**
   * Delay before the next renewal: this times 2^n after n failures in a row, up
   * to the limit.
   */
  renewRetryDelayMs: 100,
  renewRetryDelayLimitMs: 800,
  /**
   * The limit while connections are refused. A worker that restarts carries out
   * late starts for the incarnation before until a call has reached it.
   */
  refusedRetryDelayMs: 200,
  /** Timeout of an order, which is then sent again: ten round trips. */
  orderTimeoutMs: 400,
  /** Delay before an order is sent again. */
  orderRetryDelayMs: 50,
  /** Timeout for all tasks of a gang to start; workers wait for 3 s. */
  gangStartTimeoutMs: 2_000,
  /**
   * How long a guaranteed job waits for capacity in its preferred rack;
   * derived from the deployment's time limit for its start.
   */
  guaranteeWaitMs: 1_800,
  /**
   * How long the report of a worker that leaves waits for its runs to end: less
   * than the second within which an answer counts.
   */
  departureWaitMs: 700,
  /** After this a worker that leaves is released though runs are left. */
  departureLimitMs: 1_400,
  /** How often all open runs are checked. */
  tickMs: 100,
  /** How long ended jobs are kept. */
  endedJobRetentionMs: 300_000,
  /** Timeout of a batch's commit. */
  commitTimeoutMs: 4_000,
  /** The fraction by which a worker's clock may run slow. */
  clockDriftFraction: 0.02,
  /** Time after a lease's end before its runs count as ended. */
  leaseExpirySlackMs: 300,
} as const;

/** A deployment's limits for its workers and its guarantees. */
export interface DeploymentBounds {
  /** The longest lease that workers accept. */
  readonly leaseLimitMs: number;
  /** How long a gang's task waits on its worker for the others. */
  readonly gangWaitMs: number;
  /** Within this time a job in its client account's guarantee has to start. */
  readonly guaranteeMs: number;
  /** How long a worker takes to stop a run, at most. */
  readonly stopLimitMs: number;
}

/**
 * A gang that hasn't started is stopped this long before its tasks stop waiting
 * on their workers, since start orders take up to this long to arrive.
 */
const GANG_MARGIN_MS = 1_000;

/** Once preempted runs have stopped, a start takes two commits and an order. */
const GUARANTEE_MARGIN_MS = 700;

/** Stopping the runs of a worker that leaves takes two orders and a commit. */
const DEPARTURE_MARGIN_MS = 500;

/** The timing for a deployment's limits. */
export function timingFor(bounds: DeploymentBounds): BatchTiming {
  const { leaseLimitMs, gangWaitMs, guaranteeMs, stopLimitMs } = bounds;
  return {
    ...BATCH_TIMING,
    leaseLimitMs,
    gangStartTimeoutMs: Math.max(0, gangWaitMs - GANG_MARGIN_MS),
    departureLimitMs: stopLimitMs + DEPARTURE_MARGIN_MS,
    guaranteeWaitMs: Math.max(
      0,
      guaranteeMs - stopLimitMs - GUARANTEE_MARGIN_MS,
    ),
  };
}

/** The longest time that a worker may take for a lease, by the steady clock. */
export function leaseBoundMs(leaseMs: number, timing: BatchTiming): number {
  return leaseMs * (1 + 2 * timing.clockDriftFraction) +
    timing.leaseExpirySlackMs;
}

/** Values for all of {@link BATCH_TIMING}. */
export type BatchTiming = {
  readonly [Name in keyof typeof BATCH_TIMING]: number;
};
