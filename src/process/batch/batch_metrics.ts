/**
 * Gauges of the batch scheduler, read whenever the metrics are.
 *
 * @module
 */

import type { MetricsRegistry } from "../http/mod.ts";
import type { ReplicatedLog } from "../replication/mod.ts";
import type { BatchService } from "./batch_service.ts";
import { JobPhase, type JobRecord } from "./job_record.ts";

/** Shows leadership, depths and the workers of one instance. */
export function showBatchMetrics(
  metrics: MetricsRegistry,
  service: BatchService,
  log: Pick<ReplicatedLog<unknown, unknown>, "status">,
): void {
  const gauge = (name: string, help: string, read: () => number) =>
    metrics.gauge(`sesamethread_${name}`, { help, read });
  const { state } = service;
  gauge(
    "leads",
    "1 while this instance leads the batch scheduler.",
    () => service.session === undefined ? 0 : 1,
  );
  gauge("epoch", "The latest leader's epoch.", () => state.epoch);
  gauge("term", "The term of the group.", () => log.status().term);
  gauge("voters", "Voters of the group.", () => log.status().voterIds.length);
  gauge(
    "committed_entries",
    "Entries committed to the log.",
    () => log.status().commitIndex,
  );
  gauge(
    "configuration_version",
    "The configuration in force here; -1 before the first.",
    () => state.inForce?.index.configuration.version ?? -1,
  );
  gauge(
    "workers",
    "Workers that announced themselves.",
    () => state.workers.size,
  );
  gauge("jobs", "Jobs kept.", () => state.jobs.size);
  gauge(
    "jobs_queued",
    "Jobs of which nothing has started.",
    () => count(service, (job) => !job.hasStarted),
  );
  gauge(
    "jobs_running",
    "Jobs that have started and aren't over.",
    () => count(service, (job) => job.hasStarted),
  );
  gauge(
    "open_runs",
    "Runs that the leader sees to.",
    () => service.session?.depths.openRuns ?? 0,
  );
  gauge(
    "uncommitted_changes",
    "Changes that wait for the next batch.",
    () => service.session?.depths.uncommitted ?? 0,
  );
}

function count(
  { state }: BatchService,
  matches: (job: JobRecord) => boolean,
): number {
  let found = 0;
  for (const job of state.jobs.values()) {
    found += job.phase === JobPhase.active && matches(job) ? 1 : 0;
  }
  return found;
}
