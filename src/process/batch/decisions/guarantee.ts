/**
 * Which jobs a client account's guarantee covers: its most urgent jobs, as
 * long as together they need no more than what is guaranteed.
 *
 * @module
 */

import type { ClientAccountId, JobId } from "../../../base/identity.ts";
import type { BatchState } from "../batch_state.ts";
import { JobPhase, type JobRecord } from "../job_record.ts";

/** Accelerators that the widest step of a job needs at once. */
function acceleratorsOf(job: JobRecord): number {
  return job.spec.steps.reduce(
    (most, { demand, taskCount }) =>
      Math.max(most, demand.accelerators * taskCount),
    0,
  );
}

/** The active jobs that can be had at any time, oldest first. */
export function guaranteedJobs(state: BatchState): Set<JobId> {
  const covered = new Set<JobId>();
  const index = state.inForce?.index;
  if (index === undefined) {
    return covered;
  }
  const needed = new Map<ClientAccountId, number>();
  const guaranteed = new Map(
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
      const sum = (needed.get(account) ?? 0) + acceleratorsOf(job);
      if (sum <= (guaranteed.get(account) ?? 0)) {
        needed.set(account, sum);
        covered.add(job.id);
      }
    }
  }
  return covered;
}
