/**
 * Finds a place for one waiting job, or the reason why there is none.
 *
 * @module
 */

import { type Amounts, minimumAmounts, noAmounts } from "./amounts.ts";
import { borrowingBarrier, isOverShare, mayBorrow } from "./borrowing.ts";
import { type CoreContext, URGENT_RANK } from "./core_context.ts";
import type { Evictor } from "./evictor.ts";
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
import type { VainTries } from "./vain_tries.ts";
import type { RackState, WorkerState } from "./worker_state.ts";

/** Longer work that can't be checkpointed keeps off promised workers. */
const FRAGILE_RUN_LIMIT_MS = 600_000;

const NOTHING: Readonly<Amounts> = Object.freeze(noAmounts());

/** What came of looking for a place. */
export type PlacingResult =
  | { readonly isPlaced: true }
  | { readonly isPlaced: false; readonly reason: WaitReason };

const PLACED: PlacingResult = { isPlaced: true };

/** Places jobs one by one. */
export class Placer {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #reservations: ReservationManager;
  readonly #evictor: Evictor;
  readonly #vain: VainTries;

  constructor(
    options: {
      context: CoreContext;
      lifecycle: GangLifecycle;
      reservations: ReservationManager;
      evictor: Evictor;
      vain: VainTries;
    },
  ) {
    this.#context = options.context;
    this.#lifecycle = options.lifecycle;
    this.#reservations = options.reservations;
    this.#evictor = options.evictor;
    this.#vain = options.vain;
  }

  /** Starts a queued job, or reserves a place for it, or says why not. */
  place(job: JobState): PlacingResult {
    const barrier = this.#context.startBarrierFor(job);
    if (barrier !== undefined) {
      return waits(barrier);
    }
    const request = this.#requestOf(job);
    const isPlaced = this.#placeBy(job, request) ||
      (request.avoided.size > 0 &&
        this.#placeBy(job, { ...request, avoided: new Set() }));
    return isPlaced ? PLACED : waits(this.#reasonFor(job));
  }

  #requestOf(job: JobState): BlockRequest {
    const request = requestOf(job);
    return this.#context.mutations.has("ignoresAdjacency")
      ? { ...request, adjacency: "any" }
      : request;
  }

  #placeBy(job: JobState, request: BlockRequest): boolean {
    return this.#startInGuarantee(job, request) ||
      this.#startOnLoan(job, request) || this.#evictor.reclaim(job, request) ||
      this.#evictor.preempt(job, request) || this.#backfill(job, request);
  }

  #startInGuarantee(job: JobState, request: BlockRequest): boolean {
    const { cells, mutations } = this.#context;
    const account = job.specification.clientAccount;
    if (mutations.has("claimsForeignCells")) {
      return this.#startFree(job, request, true);
    }
    const racks = cells.racksOf(account);
    if (racks.length === 0) {
      return false;
    }
    const block = findBlockAmong(racks, request, {
      roomOf: (worker) =>
        worker.isPlaceable
          ? minimumAmounts(worker.room(), worker.unusedPromise(account))
          : NOTHING,
    });
    if (block === undefined) {
      return false;
    }
    const tighter = this.#tighterOnLoan(job, request, block);
    this.#lifecycle.start(job, tighter ?? block, tighter === undefined);
    return true;
  }

  /** A block on loan in a fuller rack, which keeps emptier racks whole. */
  #tighterOnLoan(
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
      emptiestRack(other) < emptiestRack(block);
    return isTighter ? other : undefined;
  }

  /** Work that can't be checkpointed keeps off what may be reclaimed. */
  #startOnLoan(job: JobState, request: BlockRequest): boolean {
    if (!mayBorrow(job, this.#context)) {
      return false;
    }
    if (job.specification.canCheckpoint) {
      return this.#startFree(job, request, false);
    }
    return this.#startOffPromises(job, request) ||
      (!this.#isKeptOffPromises(job) && this.#startFree(job, request, false));
  }

  /** Whether a reclaim would cost so much that the job waits instead. */
  #isKeptOffPromises(job: JobState): boolean {
    return !job.specification.canCheckpoint && job.rank !== URGENT_RANK &&
      job.expectedRunMs > FRAGILE_RUN_LIMIT_MS && !this.#context.aged.has(job);
  }

  #startOffPromises(job: JobState, request: BlockRequest): boolean {
    const block = findFreeBlock(this.#context.index, {
      ...request,
      isOffPromises: true,
    });
    if (block !== undefined) {
      this.#lifecycle.start(job, block, false);
    }
    return block !== undefined;
  }

  #startFree(
    job: JobState,
    request: BlockRequest,
    isGuaranteed: boolean,
  ): boolean {
    const shape = this.#context.queue.groupOf(job)?.shapeKey ?? "";
    if (this.#vain.has(shape)) {
      return false;
    }
    const block = findFreeBlock(this.#context.index, request) ??
      this.#overcommitted(request);
    if (block === undefined) {
      this.#vain.note(shape, request);
      return false;
    }
    this.#lifecycle.start(job, block, isGuaranteed);
    return true;
  }

  /** Runs short work on room that is being drained for a large gang. */
  #backfill(job: JobState, request: BlockRequest): boolean {
    if (this.#reservations.size === 0 || !mayBorrow(job, this.#context)) {
      return false;
    }
    const { corrections, nowMs } = this.#context;
    const spread = corrections.spreadOf(job.specification);
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

  /** A block where there is no room, under the mutation that wants it. */
  #overcommitted(request: BlockRequest): Block | undefined {
    const { mutations, index } = this.#context;
    const [worker] = index.workers.values();
    const isWanted = mutations.has("overcommitsWorkers") &&
      worker !== undefined;
    return isWanted ? new Map([[worker, request.tasks]]) : undefined;
  }

  #reasonFor(job: JobState): WaitReason {
    const borrowing = borrowingBarrier(job, this.#context);
    if (borrowing !== undefined) {
      return borrowing;
    }
    const { index, policy, ledger } = this.#context;
    const free = index.freeAccelerators;
    const needed = gangAccelerators(job);
    if (free >= needed && this.#isKeptOffPromises(job)) {
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
function emptiestRack(block: Block): number {
  let most = 0;
  for (const { rack } of block.keys()) {
    most = Math.max(most, rack.freeAccelerators);
  }
  return most;
}

function waits(reason: WaitReason): PlacingResult {
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
    roomOf: (worker) => {
      const isAlone = worker.reservations.size === 1 && worker.isPlaceable;
      return isAlone ? worker.free() : NOTHING;
    },
  });
}
