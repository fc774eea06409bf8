/**
 * Goes over the waiting jobs in order and places what can be placed.
 *
 * @module
 */

import { BinaryHeap } from "./binary_heap.ts";
import { type CoreContext, URGENT_RANK } from "./core_context.ts";
import type { Evictor } from "./evictor.ts";
import { compareJobs, type QueueGroup } from "./job_queue.ts";
import type { JobState } from "./job_state.ts";
import type { Placer } from "./placer.ts";
import type { ReservationManager } from "./reservation_manager.ts";
import type { VainTries } from "./vain_tries.ts";

/** Jobs tried in one pass; the rest follows on the next tick. */
const TRIES_LIMIT = 96;
/** Reservations opened in one pass. */
const DRAINS_LIMIT = 2;

interface Entry {
  readonly group: QueueGroup;
  readonly head: JobState;
  /** Accelerators held on loan, over the weight. */
  readonly share: number;
}

/** The passes over the queue. */
export class PlacingPass {
  readonly #context: CoreContext;
  readonly #placer: Placer;
  readonly #evictor: Evictor;
  readonly #vain: VainTries;
  readonly #reservations: ReservationManager;
  /** Groups tried since the last whole pass. */
  readonly #tried = new Set<string>();

  constructor(
    options: {
      context: CoreContext;
      placer: Placer;
      evictor: Evictor;
      vain: VainTries;
      reservations: ReservationManager;
    },
  ) {
    this.#context = options.context;
    this.#placer = options.placer;
    this.#evictor = options.evictor;
    this.#vain = options.vain;
    this.#reservations = options.reservations;
  }

  /** Places what can be placed; does nothing when nothing changed. */
  run(): void {
    const context = this.#context;
    if (!context.isPlacingDue || context.startBarrier() !== undefined) {
      return;
    }
    this.#reservations.startAllReady();
    const isNewRound = this.#tried.size === 0;
    if (isNewRound && context.isRoomFreed) {
      context.isRoomFreed = false;
      this.#vain.clear();
    }
    this.#drainForAged();
    const isWhole = this.#placeInOrder();
    if (isWhole) {
      this.#tried.clear();
      context.isPlacingDue = context.isRoomFreed ||
        context.returnedAtMs !== undefined;
    }
  }

  /** Tries one job by itself, at once. */
  runFor(job: JobState): void {
    if (this.#context.isQueued(job)) {
      this.#try(job);
    }
  }

  /** Whether the limit of tries left groups for the next tick. */
  #placeInOrder(): boolean {
    const heap = new BinaryHeap<Entry>({ isBefore: isEntryBefore });
    for (const group of this.#context.queue.groups()) {
      if (!this.#tried.has(group.key)) {
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
      if (tries >= TRIES_LIMIT) {
        return false;
      }
      tries += 1;
      const isPlaced = this.#try(head);
      if (isPlaced && group.jobs.length > 0) {
        heap.push(this.#entryOf(group));
      }
      if (!isPlaced) {
        this.#tried.add(group.key);
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

  #drainForAged(): void {
    let opened = 0;
    const waiting: JobState[] = [];
    for (const job of this.#context.aged) {
      if (this.#context.isQueued(job)) {
        waiting.push(job);
      } else if (job.reservation === undefined) {
        this.#context.aged.delete(job);
      }
    }
    waiting.sort((left, right) =>
      left.rank - right.rank || left.queuedAtMs - right.queuedAtMs ||
      left.order - right.order
    );
    for (const job of waiting) {
      if (opened >= DRAINS_LIMIT) {
        return;
      }
      opened += 1;
      if (job.rank !== URGENT_RANK && !this.#try(job)) {
        this.#evictor.drainFor(job);
      }
    }
  }

  #entryOf(group: QueueGroup): Entry {
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

function isEntryBefore(left: Entry, right: Entry): boolean {
  if (left.group.rank !== right.group.rank) {
    return left.group.rank < right.group.rank;
  }
  if (left.share !== right.share) {
    return left.share < right.share;
  }
  return compareJobs(left.head, right.head) < 0;
}
