/**
 * The waiting jobs, in groups of like ones: what holds for the head of a group
 * holds for the rest, so only heads are looked at.
 *
 * @module
 */

import type { ClientAccountId } from "../../../base/identity.ts";
import { gangAccelerators, type JobState } from "./job_state.ts";
import { DRAIN_LIMIT_MS } from "./reservation.ts";
import type { WaitReason } from "./scheduler_decision.ts";

/** Run time up to which a job is of level 0. */
const FIRST_LEVEL_MS = 600_000;
/** By how much more run time each further level is set apart. */
const LEVEL_FACTOR = 8;

/** Jobs of one client account, rank and shape, in order. */
export interface QueueGroup {
  readonly key: string;
  readonly clientAccount: ClientAccountId;
  readonly rank: number;
  /** The same for jobs that need the same room. */
  readonly shapeKey: string;
  readonly jobs: JobState[];
  /** Why its head was last left waiting. */
  waitReason: WaitReason;
}

/** Every job that waits for a place. */
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
    // Short jobs can go on behind a reservation where the others can't.
    const length = job.expectedRunMs <= DRAIN_LIMIT_MS ? "short" : "long";
    const key = `${clientAccount}|${job.rank}|${length}|${shapeKey}`;
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
    group.jobs.splice(placeFor(job, group.jobs), 0, job);
    job.queueGroup = key;
    this.#size += 1;
  }

  remove(job: JobState): void {
    const group = this.groupOf(job);
    if (group === undefined) {
      return;
    }
    job.queueGroup = undefined;
    const at = group.jobs.indexOf(job);
    group.jobs.splice(at, 1);
    this.#size -= 1;
    if (group.jobs.length === 0) {
      this.#groups.delete(group.key);
    }
  }
}

/** Which of two jobs of the same rank goes first. */
export function compareJobs(left: JobState, right: JobState): number {
  return levelOf(left) - levelOf(right) ||
    left.submittedAtMs - right.submittedAtMs ||
    left.order - right.order;
}

/**
 * The level of a job by the run time that it had or is expected to need. The
 * size of its gang doesn't count, so that small jobs don't always take the
 * room that a large one waits for.
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

function placeFor(job: JobState, jobs: readonly JobState[]): number {
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
