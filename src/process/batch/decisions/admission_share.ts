/**
 * Decides up to which share of a bound a job is accepted: what costs least to
 * refuse is refused first, so that there is room for the rest.
 *
 * Load condition: the accepted jobs or tasks are near their bound. Without a
 * headroom an urgent job is refused because less urgent ones took every place.
 *
 * @module
 */

import type { BatchState } from "../batch_state.ts";
import { JobPhase } from "../job_record.ts";
import type { JobSpec } from "../job_spec.ts";
import type {
  AccountConfiguration,
  QueueConfiguration,
} from "../pool_configuration.ts";
import { rejectionCost } from "./delay_cost.ts";
import { totalCoreSeconds } from "./job_work.ts";

/** The share of a bound that is kept for jobs that cost more to refuse. */
export const HEADROOM_SHARE = 0.1;

/** With each return at the time it was told, a job may use more of it. */
const SHARE_PER_RETURN = HEADROOM_SHARE / 2;

/** A job that is submitted, as admission values it. */
export interface Candidate {
  readonly queue: QueueConfiguration;
  readonly account: AccountConfiguration | undefined;
  readonly spec: JobSpec;
}

/** Whether the job may be in its client account's guarantee. */
export function mayBeGuaranteed({ queue, account }: Candidate): boolean {
  return queue.priority === 0 && (account?.guaranteedAccelerators ?? 0) > 0;
}

/**
 * The cost of refusing a job, for each core-second that it needs: the refusal
 * leaves this capacity to others.
 */
export function refusalCostRate(
  { queue, spec }: Pick<Candidate, "queue" | "spec">,
  options: { submittedAtMs: number; nowMs: number },
): number {
  return rejectionCost({ spec, queue, ...options }) /
    Math.max(1, totalCoreSeconds({ spec }) * (spec.recurrence?.count ?? 1));
}

/** The cost rates of all active jobs, in ascending order. */
export function activeCostRates(state: BatchState, nowMs: number): number[] {
  const rates: number[] = [];
  for (const { phase, queue, spec, submittedAtMs } of state.liveJobs.values()) {
    const configured = state.inForce?.index.queueNamed(queue);
    if (phase === JobPhase.active && configured !== undefined) {
      rates.push(
        refusalCostRate({ queue: configured, spec }, { submittedAtMs, nowMs }),
      );
    }
  }
  return rates.sort((a, b) => a - b);
}

/**
 * The share of a bound, 0.9 to 1, up to which a job is accepted: all of it for
 * priority 0, and for others the more, the more of the active jobs cost less to
 * refuse. A job that returned when it was told to gets half of the headroom for
 * each return, so that jobs of low value are refused at most twice for it.
 */
export function admissionShare(
  candidate: Candidate,
  options: {
    nowMs: number;
    /** See {@link activeCostRates}. */
    rates: readonly number[];
    returns: number;
    headroomShare?: number;
  },
): number {
  const { nowMs, rates, returns, headroomShare = HEADROOM_SHARE } = options;
  if (candidate.queue.priority === 0 || rates.length === 0) {
    return 1;
  }
  const rate = refusalCostRate(candidate, { submittedAtMs: nowMs, nowMs });
  const cheaper = countBelow(rates, rate) / rates.length;
  const share = 1 - headroomShare * (1 - cheaper);
  return Math.min(1, share + SHARE_PER_RETURN * returns);
}

/** How many of the ascending numbers are below a limit. */
function countBelow(ascending: readonly number[], limit: number): number {
  let low = 0;
  let high = ascending.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (ascending[middle]! < limit) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
