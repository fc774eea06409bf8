/**
 * Checks submitted jobs, and refuses those that can never run here.
 *
 * @module
 */

import type { ErrorKind } from "../../../base/error_kind.ts";
import type { DataCentreId } from "../../../base/identity.ts";
import { amountsOf, tasksFitting } from "./amounts.ts";
import type { DeclaredRack } from "./declared_rack.ts";
import type { JobSpecification } from "./job.ts";
import type { Policy } from "./policy.ts";

/** Why a job is refused. */
export interface Refusal {
  readonly error: ErrorKind;
  readonly detail: string;
}

/** Why a job is refused, or undefined to accept it. */
export function refusalOf(
  job: JobSpecification,
  options: {
    readonly policy: Policy;
    readonly dataCentre: DataCentreId;
    readonly waitingJobs: number;
  },
): Refusal | undefined {
  const { policy, dataCentre } = options;
  if (policy.section === undefined) {
    return undefined;
  }
  const account = policy.clientAccount(job.clientAccount);
  if (account === undefined) {
    return invalid(`There is no client account ${job.clientAccount}.`);
  }
  if (!policy.hasJobClass(job.jobClass)) {
    return invalid(`There is no job class ${job.jobClass}.`);
  }
  const isElsewhere = job.dataCentres.length > 0 &&
    !job.dataCentres.includes(dataCentre);
  if (isElsewhere) {
    return invalid(`The job may not run in ${dataCentre}.`);
  }
  const detail = whyNeverFits(job, policy.racks);
  if (detail !== undefined) {
    return { error: "neverFits", detail };
  }
  if (options.waitingJobs >= account.queuedJobsLimit) {
    return {
      error: "overloaded",
      detail: `${job.clientAccount} has ${options.waitingJobs} jobs waiting.`,
    };
  }
  return undefined;
}

/**
 * Why a job can't be placed even if all the declared hardware is free, or
 * undefined if it can.
 */
export function whyNeverFits(
  job: JobSpecification,
  racks: readonly DeclaredRack[],
): string | undefined {
  const need = amountsOf(job.resources);
  const perWorker = racks.map((rack) => tasksFitting(rack.worker, need));
  const largest = Math.max(0, ...perWorker);
  if (largest === 0) {
    return "One task needs more than any worker has.";
  }
  if (job.adjacency === "worker" && largest < job.tasks) {
    return `A worker holds at most ${largest} of the ${job.tasks} tasks.`;
  }
  const perRack = racks.map((rack, index) =>
    rack.workers * (perWorker[index] ?? 0)
  );
  const largestRack = Math.max(...perRack);
  if (job.adjacency === "rack" && largestRack < job.tasks) {
    return `A rack holds at most ${largestRack} of the ${job.tasks} tasks.`;
  }
  const all = perRack.reduce((total, tasks) => total + tasks, 0);
  return all < job.tasks
    ? `The data centre holds at most ${all} of the ${job.tasks} tasks.`
    : undefined;
}

function invalid(detail: string): Refusal {
  return { error: "invalid", detail };
}
