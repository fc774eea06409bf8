/**
 * Read-only views of the scheduler's state.
 *
 * @module
 */

import type {
  ClientAccountId,
  JobId,
  RackId,
  WorkerId,
} from "../../../base/identity.ts";
import { resourcesOf } from "./amounts.ts";
import type { CoreContext } from "./core_context.ts";
import type { TaskResources } from "./job.ts";
import { isLive, type JobPhase, type JobState } from "./job_state.ts";
import { isQuarantined } from "./quarantine.ts";
import {
  type JobOutcome,
  type TaskPlacement,
  WaitReason,
} from "./scheduler_decision.ts";
import type { WorkerState, WorkerStatus } from "./worker_state.ts";

/** A view of one job. */
export interface JobView {
  readonly jobId: JobId;
  readonly clientAccount: ClientAccountId;
  readonly jobClass: string;
  readonly tasks: number;
  readonly phase: JobPhase;
  readonly attempt: number;
  readonly placements: readonly TaskPlacement[];
  readonly isGuaranteed: boolean;
  readonly submittedAtMs: number;
  readonly startedAtMs: number | undefined;
  /** Why it waits; undefined if it runs or has ended. */
  readonly waitReason: WaitReason | undefined;
  /** The text of `waitReason`. */
  readonly waitText: string | undefined;
  /** The configuration version at its last start. */
  readonly configurationVersion: number;
  readonly expectedRunMs: number;
  readonly outcome: JobOutcome | undefined;
}

/** A view of one worker. */
export interface WorkerView {
  readonly workerId: WorkerId;
  readonly rack: RackId;
  readonly status: WorkerStatus;
  readonly capacity: TaskResources;
  readonly free: TaskResources;
  /** Accelerators assigned to guarantees. */
  readonly guaranteeAccelerators: number;
  readonly gangs: number;
}

/** Figures of the whole data centre. */
export interface SchedulerMetrics {
  readonly workers: number;
  readonly quarantinedWorkers: number;
  readonly freeAccelerators: number;
  readonly liveAccelerators: number;
  /** Largest number of free accelerators in one rack. */
  readonly largestStartableGang: number;
  /** The same as a fraction of all free accelerators; 1 if none is free. */
  readonly largestStartableFraction: number;
  readonly queuedJobs: number;
  readonly liveGangs: number;
  readonly reservations: number;
  readonly unplacedGuarantees: number;
}

export function jobViewOf(job: JobState, context: CoreContext): JobView {
  const waitReason = context.waitReasonOf(job);
  return {
    jobId: job.specification.jobId,
    clientAccount: job.specification.clientAccount,
    jobClass: job.specification.jobClass,
    tasks: job.specification.tasks,
    phase: job.phase,
    attempt: job.attempt,
    placements: job.placements,
    isGuaranteed: job.isGuaranteed,
    submittedAtMs: job.submittedAtMs,
    startedAtMs: job.startedAtMs,
    waitReason,
    waitText: waitReason === undefined ? undefined : WaitReason[waitReason],
    configurationVersion: job.configurationVersion,
    expectedRunMs: job.expectedRunMs,
    outcome: job.outcome,
  };
}

export function workerViewOf(worker: WorkerState): WorkerView {
  return {
    workerId: worker.workerId,
    rack: worker.rack.rackId,
    status: worker.status,
    capacity: resourcesOf(worker.capacity),
    free: resourcesOf(worker.free()),
    guaranteeAccelerators: worker.guaranteeCapacity.accelerators,
    gangs: worker.allocations.size,
  };
}

export function metricsOf(
  context: CoreContext,
  options: { readonly reservations: number },
): SchedulerMetrics {
  const { index, guarantees, queue, ledger } = context;
  let liveGangs = 0;
  for (const account of ledger.accounts().values()) {
    liveGangs += [...account.liveJobs].filter(isLive).length;
  }
  const largest = index.largestFree();
  return {
    workers: index.workers.size,
    quarantinedWorkers: [...index.workers.values()].filter(isQuarantined)
      .length,
    freeAccelerators: index.freeAccelerators,
    liveAccelerators: ledger.liveAccelerators,
    largestStartableGang: largest,
    largestStartableFraction: index.freeAccelerators === 0
      ? 1
      : largest / index.freeAccelerators,
    queuedJobs: queue.size,
    liveGangs,
    reservations: options.reservations,
    unplacedGuarantees: [...guarantees.all()]
      .filter((assignment) => assignment.workers.length === 0).length,
  };
}
