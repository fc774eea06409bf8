/**
 * The queues that a configuration version drops while jobs of them are live.
 *
 * @module
 */

import type { JobRecord } from "./job_record.ts";
import type {
  ConfigurationIndex,
  PoolConfiguration,
  QueueConfiguration,
} from "./pool_configuration.ts";

/**
 * Moves live jobs of queues that a version drops to the queue that takes their
 * place, at the same host and prefix. Returns the queues without such a
 * successor, which their jobs keep.
 */
export function moveJobsOfDroppedQueues(
  liveJobs: Iterable<JobRecord>,
  { known, next }: {
    known: ConfigurationIndex | undefined;
    next: PoolConfiguration;
  },
): QueueConfiguration[] {
  const kept = new Set(next.queues.map(({ name }) => name));
  const dropped = new Map<string, QueueConfiguration>();
  for (const job of liveJobs) {
    const queue = known?.queueNamed(job.queue);
    if (queue === undefined || kept.has(job.queue)) {
      continue;
    }
    const successor = next.queues.find(({ host, prefix }) =>
      host === queue.host && prefix === queue.prefix
    );
    if (successor === undefined) {
      dropped.set(queue.name, queue);
    } else {
      job.queue = successor.name;
    }
  }
  return [...dropped.values()];
}
