/**
 * Periods and limits of the batch scheduler.
 *
 * @module
 */

/** Every period and limit, with its default. */
export const BATCH_TIMING = {
  /** The longest lease that workers take; the deployment's settings say it. */
  leaseLimitMs: 10_000,
  /**
   * The lease that a renewal gives. A change of leader takes about 2.5 s and a
   * renewal is at most 2 s old; a worker that is lost costs as long as this.
   */
  leaseMs: 5_500,
  /** How long a worker may hold a renewal open until something ends. */
  reportWaitMs: 1_500,
  /** Beyond the wait, when a renewal is given up: a round trip and a stall. */
  reportSlackMs: 600,
  /** The first and the longest pause after a failed renewal. */
  renewRetryMs: 100,
  renewRetryLimitMs: 800,
  /** When an order without an answer is sent again: ten round trips. */
  orderTimeoutMs: 400,
  orderRetryMs: 50,
  /** When a gang that isn't whole yet is given up; workers wait 3 s. */
  gangStartMs: 2_000,
  /**
   * How long the next life of a worker is waited for, where an order may be on
   * its way to it: a restart and a heartbeat.
   */
  nextLifeMs: 2_500,
  /**
   * How long a job within its guarantee waits for room in one rack; the
   * deployment's settings say when it has to begin.
   */
  guaranteeWaitMs: 1_800,
  /** How often open runs are looked over. */
  tickMs: 100,
  /** How long ended jobs stay known. */
  rememberMs: 300_000,
  /** When a batch without a commit is given up. */
  commitTimeoutMs: 4_000,
  /** A worker's clock may run slow by this fraction. */
  clockDrift: 0.02,
  /** Beyond a lease's end, before its runs count as gone. */
  lapseSlackMs: 300,
} as const;

/** What a deployment says of its workers and its guarantees. */
export interface DeploymentBounds {
  /** The longest lease that workers take. */
  readonly leaseLimitMs: number;
  /** How long a gang's member waits for the others. */
  readonly gangWaitMs: number;
  /** When a job within its client account's guarantee has to have begun. */
  readonly guaranteeMs: number;
  /** How long a worker takes to stop a run, at most. */
  readonly stopLimitMs: number;
}

/** Before a gang is given up, its members' orders get this long to arrive. */
const GANG_MARGIN_MS = 1_000;

/** After the stops of others a start takes two commits and an order. */
const GUARANTEE_MARGIN_MS = 700;

/** The periods and limits of a deployment. */
export function timingFor(bounds: DeploymentBounds): BatchTiming {
  const { leaseLimitMs, gangWaitMs, guaranteeMs, stopLimitMs } = bounds;
  return {
    ...BATCH_TIMING,
    leaseLimitMs,
    gangStartMs: Math.max(0, gangWaitMs - GANG_MARGIN_MS),
    guaranteeWaitMs: Math.max(
      0,
      guaranteeMs - stopLimitMs - GUARANTEE_MARGIN_MS,
    ),
  };
}

/** Every period and limit. */
export type BatchTiming = {
  readonly [Name in keyof typeof BATCH_TIMING]: number;
};
