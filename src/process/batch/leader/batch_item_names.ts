/**
 * Names the jobs that a batch is about, for the log.
 *
 * @module
 */

import type { JobId } from "../../../base/identity.ts";
import type { BatchItem } from "../batch_command.ts";

/** Maximum number of jobs that a line about a batch names. */
const NAMED_JOBS_LIMIT = 32;

/** The jobs that items are about: the IDs of the first ones, and a count. */
export function nameJobs(
  items: readonly BatchItem[],
): { jobIds: string; moreJobs: number } {
  const jobIds = [...new Set(items.flatMap(jobIdsOf))];
  return {
    jobIds: jobIds.slice(0, NAMED_JOBS_LIMIT).join(" "),
    moreJobs: Math.max(0, jobIds.length - NAMED_JOBS_LIMIT),
  };
}

function jobIdsOf(item: BatchItem): readonly JobId[] {
  switch (item.kind) {
    case "accept":
    case "cancel":
    case "start":
    case "settle":
      return [item.jobId];
    case "end":
      return [item.task.jobId];
    case "worker":
    case "workerGone":
    case "workerSpeed":
    case "forget":
      return [];
  }
}
