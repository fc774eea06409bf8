/**
 * Finds a block for one waiting job, or the reason why it has to wait.
 *
 * @module
 */

import { type Amounts, minimumAmounts, zeroAmounts } from "./amounts.ts";
import { borrowingWaitReason, isOverShare, mayBorrow } from "./borrowing.ts";
import { type CoreContext, URGENT_RANK } from "./core_context.ts";
import type { Evictor } from "./evictor.ts";
import type { FailedSearchCache } from "./failed_search_cache.ts";
import type { GangLifecycle } from "./gang_lifecycle.ts";
import { gangAccelerators, type JobState } from "./job_state.ts";
import {
  type Block,
  type BlockRequest,
  findBlockAmong,
  findFreeBlock,
  requestOf,
} from "./placement.ts";
import { type Reservation, ReservationKind } from "./reservation.ts";
import type { ReservationManager } from "./reservation_manager.ts";
import type { WaitReason } from "./scheduler_decision.ts";
import type { RackState, WorkerState } from "./worker_state.ts";

/**
 * Jobs expected to run longer, and that can't be checkpointed, don't borrow on
 * workers assigned to guarantees: a reclaim there would lose too much work.
 */
const UNCHECKPOINTABLE_RUN_LIMIT_MS = 600_000;

const ZERO_AMOUNTS: Readonly<Amounts> = Object.freeze(zeroAmounts());

/** The result of trying to place a job. */
export type PlacementResult =
  | { readonly isPlaced: true }
  | { readonly isPlaced: false; readonly reason: WaitReason };

const PLACED: PlacementResult = { isPlaced: true };

/** Places single jobs. */
export class Placer {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #reservations: ReservationManager;
  readonly #evictor: Evictor;
  readonly #failedSearches: FailedSearchCache;

  constructor(
    options: {
      context: CoreContext;
      lifecycle: GangLifecycle;
      reservations: ReservationManager;
      evictor: Evictor;
      failedSearches: FailedSearchCache;
    },
  ) {
    this.#context = options.context;
    this.#lifecycle = options.lifecycle;
    this.#reservations = options.reservations;
    this.#evictor = options.evictor;
    this.#failedSearches = options.failedSearches;
  }

  /** Starts a queued job or reserves a block for it; else returns why not. */
  place(job: JobState): PlacementResult {
    const waitReason = this.#context.startWaitReasonFor(job);
    if (waitReason !== undefined) {
      return waitsFor(waitReason);
    }
    const request = this.#requestOf(job);
    const isPlaced = this.#tryPlace(job, request) ||
      (request.avoided.size > 0 &&
        this.#tryPlace(job, { ...request, avoided: new Set() }));
    return isPlaced ? PLACED : waitsFor(this.#waitReasonFor(job));
  }

  #requestOf(job: JobState): BlockRequest {
    const request = requestOf(job);
    return this.#context.mutations.has("ignoresAdjacency")
      ? { ...request, adjacency: "any" }
      : request;
  }

  #tryPlace(job: JobState, request: BlockRequest): boolean {
    return this.#startInGuarantee(job, request) ||
      this.#startBorrowing(job, request) ||
      this.#evictor.reclaim(job, request) ||
      this.#evictor.preempt(job, request) || this.#backfill(job, request);
  }

  #startInGuarantee(job: JobState, request: BlockRequest): boolean {
    const { guarantees, mutations } = this.#context;
    const account = job.specification.clientAccount;
    if (mutations.has("claimsForeignGuarantees")) {
      return this.#startOnFreeBlock(job, request, true);
    }
    const racks = guarantees.racksOf(account);
    if (racks.length === 0) {
      return false;
    }
    const block = findBlockAmong(racks, request, {
      availableOf: (worker) =>
        worker.isPlaceable
          ? minimumAmounts(worker.available(), worker.unusedGuarantee(account))
          : ZERO_AMOUNTS,
    });
    if (block === undefined) {
      return false;
    }
    const tighter = this.#tighterBorrowedBlock(job, request, block);
    this.#lifecycle.start(job, tighter ?? block, tighter === undefined);
    return true;
  }

  /**
   * A free block in a fuller rack, if there is one, to borrow instead of using
   * the guarantee; this leaves emptier racks free for large gangs.
   */
  #tighterBorrowedBlock(
    job: JobState,
    request: BlockRequest,
    block: Block,
  ): Block | undefined {
    const isMovable = job.rank !== URGENT_RANK &&
      job.specification.canCheckpoint && mayBorrow(job, this.#context);
    if (!isMovable) {
      return undefined;
    }
    const other = findFreeBlock(this.#context.index, request);
    const isTighter = other !== undefined &&
      largestRackFree(other) < largestRackFree(block);
    return isTighter ? other : undefined;
  }

  /**
   * Starts a job on borrowed capacity. One that can't be checkpointed prefers
   * workers that aren't assigned to guarantees; some jobs take only those.
   */
  #startBorrowing(job: JobState, request: BlockRequest): boolean {
    if (!mayBorrow(job, this.#context)) {
      return false;
    }
    if (job.specification.canCheckpoint) {
      return this.#startOnFreeBlock(job, request, false);
    }
    return this.#startAvoidingGuarantees(job, request) ||
      (!this.#mustAvoidGuarantees(job) &&
        this.#startOnFreeBlock(job, request, false));
  }

  /** Whether the job should wait rather than risk its work in a reclaim. */
  #mustAvoidGuarantees(job: JobState): boolean {
    return !job.specification.canCheckpoint && job.rank !== URGENT_RANK &&
      job.expectedRunMs > UNCHECKPOINTABLE_RUN_LIMIT_MS &&
      !this.#context.agedJobs.has(job);
  }

  #startAvoidingGuarantees(job: JobState, request: BlockRequest): boolean {
    const block = findFreeBlock(this.#context.index, {
      ...request,
      avoidsGuarantees: true,
    });
    if (block !== undefined) {
      this.#lifecycle.start(job, block, false);
    }
    return block !== undefined;
  }

  #startOnFreeBlock(
    job: JobState,
    request: BlockRequest,
    isGuaranteed: boolean,
  ): boolean {
    const shape = this.#context.queue.groupOf(job)?.shapeKey ?? "";
    if (this.#failedSearches.has(shape)) {
      return false;
    }
    const block = findFreeBlock(this.#context.index, request) ??
      this.#overcommittedBlock(request);
    if (block === undefined) {
      this.#failedSearches.record(shape, request);
      return false;
    }
    this.#lifecycle.start(job, block, isGuaranteed);
    return true;
  }

  /** Starts a short job on capacity that drains for a larger gang. */
  #backfill(job: JobState, request: BlockRequest): boolean {
    if (this.#reservations.size === 0 || !mayBorrow(job, this.#context)) {
      return false;
    }
    const { estimator, nowMs } = this.#context;
    const spread = estimator.runTimeSpread(job.specification);
    const endMs = nowMs + job.expectedRunMs * spread;
    for (const reservation of this.#reservations.all()) {
      const isOpen = reservation.kind === ReservationKind.drain &&
        !reservation.isEvicting && endMs <= reservation.deadlineMs &&
        gangAccelerators(job) < gangAccelerators(reservation.job);
      const block = isOpen ? backfillBlock(request, reservation) : undefined;
      if (block !== undefined) {
        this.#lifecycle.start(job, block, false);
        return true;
      }
    }
    return false;
  }

  /** A block without free capacity, for the mutation `overcommitsWorkers`. */
  #overcommittedBlock(request: BlockRequest): Block | undefined {
    const { mutations, index } = this.#context;
    const [worker] = index.workers.values();
    const isWanted = mutations.has("overcommitsWorkers") &&
      worker !== undefined;
    return isWanted ? new Map([[worker, request.tasks]]) : undefined;
  }

  #waitReasonFor(job: JobState): WaitReason {
    const borrowingReason = borrowingWaitReason(job, this.#context);
    if (borrowingReason !== undefined) {
      return borrowingReason;
    }
    const { index, policy, ledger } = this.#context;
    const free = index.freeAccelerators;
    const needed = gangAccelerators(job);
    if (free >= needed && this.#mustAvoidGuarantees(job)) {
      return "guaranteeProtection";
    }
    if (free >= needed && needed > 0) {
      return "fragmentation";
    }
    if (index.workers.size < policy.declaredWorkers && free === 0) {
      return ledger.liveAccelerators === 0 ? "workersMissing" : "capacity";
    }
    if (free + this.#reservations.reclaimingAccelerators() >= needed) {
      return "guaranteeProtection";
    }
    return isOverShare(job, this.#context) ? "fairShare" : "capacity";
  }
}

/** Free accelerators of the emptiest rack that a block touches. */
function largestRackFree(block: Block): number {
  let most = 0;
  for (const { rack } of block.keys()) {
    most = Math.max(most, rack.freeAccelerators);
  }
  return most;
}

function waitsFor(reason: WaitReason): PlacementResult {
  return { isPlaced: false, reason };
}

function backfillBlock(
  request: BlockRequest,
  reservation: Reservation,
): Block | undefined {
  const byRack = new Map<RackState, WorkerState[]>();
  for (const worker of reservation.block.keys()) {
    const workers = byRack.get(worker.rack) ?? [];
    workers.push(worker);
    byRack.set(worker.rack, workers);
  }
  return findBlockAmong([...byRack.values()], request, {
    availableOf: (worker) => {
      const isOnlyReservation = worker.reservations.size === 1 &&
        worker.isPlaceable;
      return isOnlyReservation ? worker.free() : ZERO_AMOUNTS;
    },
  });
}
