/**
 * What each client account has running: the demand of all its open runs in the
 * replicated state, wherever they are, until their ends are committed.
 *
 * @module
 */

import type { ClientAccountId } from "../../../base/identity.ts";
import { type JobRecord, openOccurrences } from "../job_record.ts";
import type { TaskDemand } from "../job_spec.ts";

/** Stands for the callers of public queues; no account has an empty name. */
export const ANONYMOUS_ACCOUNT: ClientAccountId = "";

/** Amounts that are summed up in place. */
export type DemandTotal = { -readonly [Name in keyof TaskDemand]: number };

/** A total of nothing. */
export function emptyTotal(): DemandTotal {
  return { cpuMilli: 0, memoryMb: 0, accelerators: 0 };
}

/** Adds the demand of `count` tasks; a negative count subtracts it. */
export function addDemand(
  total: DemandTotal,
  demand: TaskDemand,
  count: number,
): void {
  total.cpuMilli += demand.cpuMilli * count;
  total.memoryMb += demand.memoryMb * count;
  total.accelerators += demand.accelerators * count;
}

/**
 * The running totals of all accounts. Kept incrementally by the state machine,
 * which applies thousands of starts a second. Demands are whole numbers, so that
 * the sums are exact and don't depend on the order of starts and ends: a replica
 * that was restored from a snapshot decides as the others do.
 */
export class AccountUsage {
  readonly #totals = new Map<ClientAccountId, DemandTotal>();

  /** The totals of the jobs' open runs, of jobs that are over too. */
  static ofJobs(jobs: Iterable<JobRecord>): AccountUsage {
    const usage = new AccountUsage();
    for (const job of jobs) {
      usage.#countJob(job, 1);
    }
    return usage;
  }

  /** The accounts that have runs, with their totals. */
  get totals(): ReadonlyMap<ClientAccountId, TaskDemand> {
    return this.#totals;
  }

  of(account: ClientAccountId): TaskDemand {
    return this.#totals.get(account) ?? NOTHING;
  }

  /** Counts `count` runs of a step that have begun; a negative count, ended. */
  count(job: JobRecord, step: number, count: number): void {
    const { account = ANONYMOUS_ACCOUNT } = job;
    const total = this.#totals.get(account) ?? emptyTotal();
    addDemand(total, job.spec.steps[step]!.demand, count);
    if (total.cpuMilli + total.memoryMb + total.accelerators === 0) {
      this.#totals.delete(account);
    } else {
      this.#totals.set(account, total);
    }
  }

  /** Subtracts all open runs of a job whose record is removed, if there is one. */
  removeJob(job: JobRecord | undefined): void {
    if (job !== undefined) {
      this.#countJob(job, -1);
    }
  }

  #countJob(job: JobRecord, sign: 1 | -1): void {
    for (const [, { steps }] of openOccurrences(job)) {
      for (const [step, { tasks }] of steps.entries()) {
        const open = tasks.filter(({ worker }) => worker !== undefined).length;
        this.count(job, step, sign * open);
      }
    }
  }
}

const NOTHING: TaskDemand = emptyTotal();
