/**
 * Computes after which time a refused caller may return: from the work that
 * waits, relative to the rate at which the pool does it.
 *
 * Load condition: a bound on accepted work is reached. All callers that were
 * refused at once would return at once after a constant time.
 *
 * @module
 */

import type { JobId, ServiceId } from "../../../base/identity.ts";
import type { BatchState } from "../batch_state.ts";
import { JobPhase } from "../job_record.ts";
import { hasLastingStep } from "../job_spec.ts";
import { coreSeconds, remainingCoreSeconds } from "./job_work.ts";

/** The bounds of the time after which a refused caller may return. */
export const RETRY_MIN_S = 1;
export const RETRY_MAX_S = 30;

/**
 * The time if the pool's rate is unknown: while workers are cut off, or before
 * they have announced themselves, more is known within seconds.
 */
const UNKNOWN_RATE_RETRY_S = 5;

/** The part of the time, from its end, over which callers are spread. */
const SPREAD_SHARE = 0.5;

/** The work of one service and the rate at which its workers do it. */
export interface Backlog {
  /** Core-seconds that accepted jobs still need. */
  readonly remainingCoreSeconds: number;
  /** Core-seconds of the workers in one second; 0 if none are in service. */
  readonly rate: number;
}

/**
 * The service's backlog. Of recurring jobs the first open occurrence counts.
 * Tasks that last never free their capacity, so it is no part of the rate.
 */
export function backlogOf(state: BatchState, service: ServiceId): Backlog {
  const index = state.inForce?.index;
  let remaining = 0;
  let lasting = 0;
  for (const job of state.liveJobs.values()) {
    const isOfService = index?.queueNamed(job.queue)?.service === service;
    if (job.phase !== JobPhase.active || !isOfService) {
      continue;
    }
    if (hasLastingStep(job.spec)) {
      lasting += job.spec.steps.reduce(
        (sum, { demand, taskCount }) =>
          sum + coreSeconds(demand, { tasks: taskCount, estimateMs: 1_000 }),
        0,
      );
    } else {
      remaining += remainingCoreSeconds(job, job.firstOpenOccurrence ?? 0);
    }
  }
  let rate = 0;
  for (const worker of state.workers.values()) {
    if (worker.service === service && state.mayRunOn(worker.key)) {
      const once = { tasks: 1, estimateMs: 1_000 };
      rate += coreSeconds(worker.capacity, once);
    }
  }
  return {
    remainingCoreSeconds: remaining,
    rate: Math.max(0, rate - lasting),
  };
}

/**
 * Whole seconds, 1 to 30, after which the caller of a job may return. Jobs with
 * different IDs are spread over the later half of the time, so that callers that
 * were refused together don't return together.
 */
export function retryAfterS(backlog: Backlog, jobId: JobId): number {
  const drainS = backlog.rate > 0
    ? backlog.remainingCoreSeconds / backlog.rate
    : UNKNOWN_RATE_RETRY_S;
  const latestS = Math.min(RETRY_MAX_S, Math.max(RETRY_MIN_S, drainS));
  const spreadS = latestS * SPREAD_SHARE * fractionOf(jobId);
  return Math.max(RETRY_MIN_S, Math.ceil(latestS - spreadS));
}

/** A number from 0 to 1 that is the same for each text (FNV-1a, 32 bits). */
function fractionOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
  }
  // The last bits of FNV-1a vary most between similar texts.
  hash ^= hash >>> 15;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  return (hash >>> 0) / 2 ** 32;
}
