/**
 * Decides which jobs are within their client account's guarantee: its active
 * jobs of priority 0, oldest first, as long as their summed peak demand is at
 * most the guaranteed number of accelerators.
 *
 * @module
 */

import type { ClientAccountId, JobId } from "../../../base/identity.ts";
import type { BatchState } from "../batch_state.ts";
import { JobPhase, type JobRecord } from "../job_record.ts";

/** The most accelerators that one step of the job needs at once. */
function peakAcceleratorsOf(job: JobRecord): number {
  return job.spec.steps.reduce(
    (most, { demand, taskCount }) =>
      Math.max(most, demand.accelerators * taskCount),
    0,
  );
}

/** The active jobs that are within their client account's guarantee. */
export function guaranteedJobs(state: BatchState): Set<JobId> {
  const guaranteedIds = new Set<JobId>();
  const index = state.inForce?.index;
  if (index === undefined) {
    return guaranteedIds;
  }
  const used = new Map<ClientAccountId, number>();
  const limits = new Map(
    index.configuration.accounts.map((account) => [
      account.name,
      account.guaranteedAccelerators,
    ]),
  );
  for (const job of state.liveJobs.values()) {
    const { account } = job;
    const isUrgent = job.phase === JobPhase.active && account !== undefined &&
      index.queueNamed(job.queue)?.priority === 0;
    if (isUrgent) {
      const sum = (used.get(account) ?? 0) + peakAcceleratorsOf(job);
      if (sum <= (limits.get(account) ?? 0)) {
        used.set(account, sum);
        guaranteedIds.add(job.id);
      }
    }
  }
  return guaranteedIds;
}
