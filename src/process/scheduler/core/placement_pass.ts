/**
 * Places the waiting jobs for which there is capacity, in queue order.
 *
 * @module
 */

import { BinaryHeap } from "./binary_heap.ts";
import { type CoreContext, URGENT_RANK } from "./core_context.ts";
import type { Evictor } from "./evictor.ts";
import type { FailedSearchCache } from "./failed_search_cache.ts";
import { compareJobs, type QueueGroup } from "./job_queue.ts";
import type { JobState } from "./job_state.ts";
import type { Placer } from "./placer.ts";
import type { ReservationManager } from "./reservation_manager.ts";

/** Jobs tried in one pass; the rest is tried on the next tick. */
const TRIED_JOBS_LIMIT = 96;
/** Aged jobs considered for a draining reservation in one pass. */
const AGED_JOBS_LIMIT = 2;

interface QueueEntry {
  readonly group: QueueGroup;
  readonly head: JobState;
  /** The account's borrowed accelerators, divided by its borrowing weight. */
  readonly share: number;
}

/** Runs passes over the job queue. */
export class PlacementPass {
  readonly #context: CoreContext;
  readonly #placer: Placer;
  readonly #evictor: Evictor;
  readonly #failedSearches: FailedSearchCache;
  readonly #reservations: ReservationManager;
  /**
   * Keys of groups whose first job couldn't be placed in the current round. A
   * round ends when every group has been tried, which may take several passes.
   */
  readonly #failedGroups = new Set<string>();

  constructor(
    options: {
      context: CoreContext;
      placer: Placer;
      evictor: Evictor;
      failedSearches: FailedSearchCache;
      reservations: ReservationManager;
    },
  ) {
    this.#context = options.context;
    this.#placer = options.placer;
    this.#evictor = options.evictor;
    this.#failedSearches = options.failedSearches;
    this.#reservations = options.reservations;
  }

  /** Places what can be placed; does nothing if nothing has changed. */
  run(): void {
    const context = this.#context;
    if (!context.isPlacementDue || context.startWaitReason() !== undefined) {
      return;
    }
    this.#reservations.startAllReady();
    const isNewRound = this.#failedGroups.size === 0;
    if (isNewRound && context.isCapacityFreed) {
      context.isCapacityFreed = false;
      this.#failedSearches.clear();
    }
    this.#openDrainsForAged();
    const isComplete = this.#placeInOrder();
    if (isComplete) {
      this.#failedGroups.clear();
      context.isPlacementDue = context.isCapacityFreed ||
        context.returnedAtMs !== undefined;
    }
  }

  /** Tries a single job, out of turn. */
  runFor(job: JobState): void {
    if (this.#context.isQueued(job)) {
      this.#try(job);
    }
  }

  /** Returns false if the limit of tries left groups for the next pass. */
  #placeInOrder(): boolean {
    const heap = new BinaryHeap<QueueEntry>({ isBefore: isEntryBefore });
    for (const group of this.#context.queue.groups()) {
      if (!this.#failedGroups.has(group.key)) {
        heap.push(this.#entryOf(group));
      }
    }
    let tries = 0;
    for (let entry = heap.pop(); entry !== undefined; entry = heap.pop()) {
      const { group, head } = entry;
      const current = this.#entryOf(group);
      if (current.head !== head || current.share > entry.share) {
        heap.push(current);
        continue;
      }
      if (tries >= TRIED_JOBS_LIMIT) {
        return false;
      }
      tries += 1;
      const isPlaced = this.#try(head);
      if (isPlaced && group.jobs.length > 0) {
        heap.push(this.#entryOf(group));
      }
      if (!isPlaced) {
        this.#failedGroups.add(group.key);
      }
    }
    return true;
  }

  #try(job: JobState): boolean {
    const result = this.#placer.place(job);
    if (result.isPlaced) {
      return true;
    }
    const group = this.#context.queue.groupOf(job);
    if (group !== undefined) {
      group.waitReason = result.reason;
    }
    this.#context.setWaitReason(job, result.reason);
    return false;
  }

  #openDrainsForAged(): void {
    let considered = 0;
    const waiting: JobState[] = [];
    for (const job of this.#context.agedJobs) {
      if (this.#context.isQueued(job)) {
        waiting.push(job);
      } else if (job.reservation === undefined) {
        this.#context.agedJobs.delete(job);
      }
    }
    waiting.sort((left, right) =>
      left.rank - right.rank || left.queuedAtMs - right.queuedAtMs ||
      left.order - right.order
    );
    for (const job of waiting) {
      if (considered >= AGED_JOBS_LIMIT) {
        return;
      }
      considered += 1;
      if (job.rank !== URGENT_RANK && !this.#try(job)) {
        this.#evictor.openDrain(job);
      }
    }
  }

  #entryOf(group: QueueGroup): QueueEntry {
    const { ledger, policy } = this.#context;
    const account = ledger.account(group.clientAccount);
    const weight = policy.clientAccount(group.clientAccount)
      ?.borrowingWeight ?? 0;
    return {
      group,
      head: group.jobs[0] as JobState,
      share: account.borrowedAccelerators / Math.max(1e-9, weight),
    };
  }
}

function isEntryBefore(left: QueueEntry, right: QueueEntry): boolean {
  if (left.group.rank !== right.group.rank) {
    return left.group.rank < right.group.rank;
  }
  if (left.share !== right.share) {
    return left.share < right.share;
  }
  return compareJobs(left.head, right.head) < 0;
}
