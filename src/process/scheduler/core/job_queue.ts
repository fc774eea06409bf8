/**
 * The waiting jobs, in groups of similar ones. Only the first job of a group is
 * tried: if it can't be placed, the others are assumed not to fit either.
 *
 * @module
 */

import type { ClientAccountId } from "../../../base/identity.ts";
import { gangAccelerators, type JobState } from "./job_state.ts";
import { DRAIN_LIMIT_MS } from "./reservation.ts";
import type { WaitReason } from "./scheduler_decision.ts";

/** Jobs below `LEVEL_FACTOR` times this run time are of level 0. */
const FIRST_LEVEL_MS = 600_000;
/** Ratio between the run times at which two successive levels begin. */
const LEVEL_FACTOR = 8;

/**
 * Jobs of one client account, rank, expected run time (short or long) and gang
 * shape, in queue order.
 */
export interface QueueGroup {
  readonly key: string;
  readonly clientAccount: ClientAccountId;
  readonly rank: number;
  /** Equal for jobs whose gangs need the same resources and adjacency. */
  readonly shapeKey: string;
  readonly jobs: JobState[];
  /** Why its first job was not placed when last tried. */
  waitReason: WaitReason;
}

/** Every job that waits to be placed and has no reservation. */
export class JobQueue {
  readonly #groups = new Map<string, QueueGroup>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  groups(): Iterable<QueueGroup> {
    return this.#groups.values();
  }

  groupOf(job: JobState): QueueGroup | undefined {
    return job.queueGroup === undefined
      ? undefined
      : this.#groups.get(job.queueGroup);
  }

  add(job: JobState): void {
    const shapeKey = shapeKeyOf(job);
    const { clientAccount } = job.specification;
    // Only short jobs can run on capacity that drains for a reservation.
    const runTimeClass = job.expectedRunMs <= DRAIN_LIMIT_MS ? "short" : "long";
    const key = `${clientAccount}|${job.rank}|${runTimeClass}|${shapeKey}`;
    let group = this.#groups.get(key);
    if (group === undefined) {
      group = {
        key,
        clientAccount,
        rank: job.rank,
        shapeKey,
        jobs: [],
        waitReason: job.waitReason,
      };
      this.#groups.set(key, group);
    }
    group.jobs.splice(insertionIndex(job, group.jobs), 0, job);
    job.queueGroup = key;
    this.#size += 1;
  }

  remove(job: JobState): void {
    const group = this.groupOf(job);
    if (group === undefined) {
      return;
    }
    job.queueGroup = undefined;
    const index = group.jobs.indexOf(job);
    group.jobs.splice(index, 1);
    this.#size -= 1;
    if (group.jobs.length === 0) {
      this.#groups.delete(group.key);
    }
  }
}

/** Orders jobs of the same rank; negative if `left` goes first. */
export function compareJobs(left: JobState, right: JobState): number {
  return levelOf(left) - levelOf(right) ||
    left.submittedAtMs - right.submittedAtMs ||
    left.order - right.order;
}

/**
 * The queue level of a job, by the larger of its past and its expected run
 * time. It doesn't depend on the size of the gang; otherwise small gangs would
 * always take the capacity that a large one waits for.
 */
export function levelOf(job: JobState): number {
  const accelerators = Math.max(1, gangAccelerators(job));
  const runMs = Math.max(
    job.attainedAcceleratorMs / accelerators,
    job.expectedRunMs,
  );
  const ratio = Math.max(1, runMs / FIRST_LEVEL_MS);
  return Math.floor(Math.log(ratio) / Math.log(LEVEL_FACTOR));
}

function shapeKeyOf(job: JobState): string {
  const { milliCores, memoryBytes, accelerators } = job.need;
  const { tasks, adjacency } = job.specification;
  return `${tasks}|${accelerators}|${milliCores}|${memoryBytes}|${adjacency}`;
}

function insertionIndex(job: JobState, jobs: readonly JobState[]): number {
  let low = 0;
  let high = jobs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (compareJobs(jobs[middle] as JobState, job) <= 0) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
