/**
 * Gauges of the batch scheduler, computed when the metrics are read.
 *
 * @module
 */

import type { MetricsRegistry } from "../http/mod.ts";
import { registerDiskMetrics, type ReplicatedLog } from "../replication/mod.ts";
import type { BatchService } from "./batch_service.ts";
import { countAccountsAtLimit } from "./decisions/account_limits.ts";
import { JobPhase, type JobRecord } from "./job_record.ts";
import {
  type DelayCostListener,
  DelayDecision,
} from "./leader/delay_decision.ts";

/** Registers the gauges of one instance: leadership, log, jobs and workers. */
export function registerBatchMetrics(
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
  gauge("epoch", "Epoch of the latest leader.", () => state.epoch);
  gauge("term", "Term of the group.", () => log.status().term);
  gauge("voters", "Voters of the group.", () => log.status().voterIds.length);
  gauge(
    "committed_entries",
    "Entries committed to the log.",
    () => log.status().commitIndex,
  );
  registerDiskMetrics(metrics, log);
  gauge(
    "configuration_version",
    "Version of the configuration in force here; -1 before the first.",
    () => state.inForce?.index.configuration.version ?? -1,
  );
  gauge(
    "workers",
    "Workers in the state.",
    () => state.workers.size,
  );
  gauge(
    "accounts_at_limit",
    "Client accounts that have reached the limit of what they have running.",
    () => countAccountsAtLimit(state.accountUsage, state.inForce?.index),
  );
  gauge(
    "workers_slow",
    "Workers classed as slow by measured speed.",
    () => {
      const speeds = [...state.workerSpeeds.values()];
      return speeds.filter(({ speedClass }) => speedClass === "slow").length;
    },
  );
  gauge("jobs", "Jobs in the state, ended ones too.", () => state.jobs.size);
  gauge(
    "jobs_queued",
    "Active jobs of which no task has started.",
    () => countActiveJobs(service, (job) => !job.hasStarted),
  );
  gauge(
    "jobs_running",
    "Active jobs of which a task has started.",
    () => countActiveJobs(service, (job) => job.hasStarted),
  );
  gauge(
    "open_runs",
    "Open runs that this instance tracks as the leader.",
    () => service.session?.depths.openRuns ?? 0,
  );
  gauge(
    "uncommitted_changes",
    "Changes that wait for the leader's next batch.",
    () => service.session?.depths.uncommitted ?? 0,
  );
}

/** Counters of what the leader's decisions cost callers, from 0 on. */
export function delayCostCounters(metrics: MetricsRegistry): DelayCostListener {
  const counterOf = (decision: DelayDecision) =>
    metrics.counter("sesamethread_delay_cost_total", {
      help: "Value that decisions under load cost callers, by decision.",
      labels: { decision },
    });
  Object.values(DelayDecision).forEach(counterOf);
  return (decision, cost) => counterOf(decision).add(cost);
}

function countActiveJobs(
  { state }: BatchService,
  matches: (job: JobRecord) => boolean,
): number {
  let count = 0;
  for (const job of state.jobs.values()) {
    count += job.phase === JobPhase.active && matches(job) ? 1 : 0;
  }
  return count;
}
