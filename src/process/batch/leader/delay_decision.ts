/**
 * The decisions under load whose cost to callers a leader counts.
 *
 * @module
 */

import type { BatchState } from "../batch_state.ts";
import { latenessCost } from "../decisions/delay_cost.ts";
import { JobPhase, type JobRecord } from "../job_record.ts";

/** The decisions whose cost to callers is counted. */
export const DelayDecision = {
  /** A job was refused as a bound was reached. */
  refusedFull: "refused_full",
  /** A job was refused as the pool or its account's limit can't hold it. */
  refusedUnservable: "refused_unservable",
  /** Runs of a job were stopped for a more urgent one. */
  preempted: "preempted",
  /** A job waited for so long that it was late. */
  late: "late",
} as const;

/** One of the values of {@link DelayDecision}. */
export type DelayDecision = typeof DelayDecision[keyof typeof DelayDecision];

/** Called with the cost of a decision to a caller. */
export type DelayCostListener = (decision: DelayDecision, cost: number) => void;

/**
 * What the caller of a completed job lost as it was late. The ends of single
 * occurrences aren't recorded, so a recurring job counts nothing.
 */
export function costOfLateEnd(job: JobRecord, state: BatchState): number {
  const queue = state.inForce?.index.queueNamed(job.queue);
  const isCounted = job.phase === JobPhase.completed &&
    job.spec.recurrence === undefined;
  return queue === undefined || !isCounted
    ? 0
    : latenessCost({ job, queue, occurrence: 0 }, job.endedAtMs);
}
