/**
 * Frees capacity by evictions: for guarantees, for urgent jobs and, after a
 * drain, for gangs that have waited long.
 *
 * @module
 */

import { addAmounts, type Amounts, zeroAmounts } from "./amounts.ts";
import { mayBorrow } from "./borrowing.ts";
import { type CoreContext, URGENT_RANK } from "./core_context.ts";
import {
  type EvictionOptions,
  type EvictionPlan,
  planEviction,
} from "./eviction.ts";
import type { FailedSearchCache } from "./failed_search_cache.ts";
import { exceedsGuarantee } from "./guarantee_reconciler.ts";
import { gangAccelerators, JobPhase, type JobState } from "./job_state.ts";
import { reservedForGuarantees } from "./ledger.ts";
import { type Block, type BlockRequest, requestOf } from "./placement.ts";
import { DRAIN_LIMIT_MS, ReservationKind } from "./reservation.ts";
import { isDrainable, type ReservationManager } from "./reservation_manager.ts";
import {
  type RackState,
  RANK_COUNT,
  type WorkerState,
} from "./worker_state.ts";

/** Start target of urgent jobs whose class sets none. */
const URGENT_START_TARGET_MS = 1_900;
/** Part of the start target that is kept for the start itself. */
const START_MARGIN_MS = 700;
/** Maximum number of racks searched for a block for one urgent job. */
const EVALUATED_RACKS_LIMIT = 12;
/**
 * Largest fraction of the declared accelerators that several draining
 * reservations may hold; a single one may hold more.
 */
const DRAINING_FRACTION = 0.25;

const ZERO_AMOUNTS: Readonly<Amounts> = Object.freeze(zeroAmounts());

/** Plans evictions, and opens the reservations for them. */
export class Evictor {
  readonly #context: CoreContext;
  readonly #reservations: ReservationManager;
  readonly #failedSearches: FailedSearchCache;

  constructor(
    options: {
      context: CoreContext;
      reservations: ReservationManager;
      failedSearches: FailedSearchCache;
    },
  ) {
    this.#context = options.context;
    this.#reservations = options.reservations;
    this.#failedSearches = options.failedSearches;
  }

  /**
   * Evicts borrowing gangs from the client account's own guarantees; for an
   * urgent job also the account's own less urgent gangs.
   */
  reclaim(job: JobState, request: BlockRequest): boolean {
    const { guarantees } = this.#context;
    const account = job.specification.clientAccount;
    const racks = guarantees.racksOf(account);
    const key = `reclaim|${this.#context.queue.groupOf(job)?.key}`;
    if (racks.length === 0 || this.#failedSearches.has(key)) {
      return false;
    }
    const isOwnLessUrgent = (victim: JobState) =>
      job.rank === URGENT_RANK && victim.rank > job.rank &&
      victim.specification.clientAccount === account;
    const isEvictable = (victim: JobState) =>
      !victim.isGuaranteed || isOwnLessUrgent(victim) ||
      this.#context.mutations.has("evictsGuarantees");
    const plan = planEviction(racks, request, {
      nowMs: this.#context.nowMs,
      hasTimeToCheckpoint: job.rank !== URGENT_RANK,
      maxAvailableOf: (worker) =>
        maxAvailableForAccount(worker, account, isOwnLessUrgent),
      availableOf: (worker) => {
        const available = availableForGuarantees(worker);
        return withoutSlowStops(worker, available, this.#latestStopMs(job));
      },
      isEvictable,
    });
    if (plan === undefined) {
      this.#failedSearches.record(key, request);
      return false;
    }
    this.#openEviction(job, ReservationKind.reclaim, plan);
    this.#demoteLessUrgent(plan.block, isOwnLessUrgent);
    return true;
  }

  /**
   * Counts the account's own less urgent gangs on the block as borrowing where
   * they don't fit the guarantee together with the reservation.
   */
  #demoteLessUrgent(
    block: Block,
    isOwnLessUrgent: (job: JobState) => boolean,
  ): void {
    for (const worker of block.keys()) {
      for (const { job } of worker.allocations.values()) {
        const isDemoted = job.isGuaranteed && isOwnLessUrgent(job) &&
          job.phase !== JobPhase.stopping && exceedsGuarantee(worker, job);
        if (isDemoted) {
          this.#context.ledger.setGuaranteed(job, false);
        }
      }
    }
  }

  /** Evicts less urgent borrowing gangs for an urgent job. */
  preempt(job: JobState, request: BlockRequest): boolean {
    const mayPreempt = job.rank === URGENT_RANK &&
      mayBorrow(job, this.#context);
    const key = `preempt|${this.#context.queue.groupOf(job)?.shapeKey}`;
    if (!mayPreempt || this.#failedSearches.has(key)) {
      return false;
    }
    const plan = planEviction(
      this.#racksToPreempt(job),
      request,
      this.#evictionOptions(job, (victim) =>
        victim.rank > job.rank &&
        (!victim.isGuaranteed ||
          this.#context.mutations.has("evictsGuarantees"))),
    );
    if (plan === undefined) {
      this.#failedSearches.record(key, request);
      return false;
    }
    this.#openEviction(job, ReservationKind.preemption, plan);
    return true;
  }

  /** Opens a draining reservation for a job that has waited long. */
  openDrain(job: JobState): boolean {
    const { index, policy, nowMs } = this.#context;
    const limit = policy.declaredAccelerators * DRAINING_FRACTION;
    const draining = this.#reservations.drainingAccelerators();
    const accelerators = gangAccelerators(job);
    const isAllowed = mayBorrow(job, this.#context) &&
      this.#context.startWaitReasonFor(job) === undefined &&
      (draining === 0 || draining + accelerators <= limit);
    if (!isAllowed) {
      return false;
    }
    const plan = planEviction(
      [...index.racks.values()].map((rack) => rack.workers),
      { ...requestOf(job), avoided: new Set() },
      this.#evictionOptions(job, (victim) => isDrainable(victim, job)),
    );
    if (plan === undefined) {
      return false;
    }
    const { reservationAfterMs } = policy.jobClass(job.specification.jobClass);
    this.#reservations.open(job, {
      kind: ReservationKind.drain,
      block: plan.block,
      victims: [],
      deadlineMs: nowMs + Math.min(DRAIN_LIMIT_MS, reservationAfterMs / 2),
    });
    return true;
  }

  #openEviction(
    job: JobState,
    kind: ReservationKind,
    plan: EvictionPlan,
  ): void {
    this.#reservations.open(job, {
      kind,
      block: plan.block,
      victims: plan.victims,
      deadlineMs: this.#checkpointDeadline(job),
    });
    this.#reservations.startReady(plan.block.keys());
  }

  /** The time until which victims of this job may make a checkpoint. */
  #checkpointDeadline(job: JobState): number {
    const { policy, nowMs } = this.#context;
    const jobClass = policy.jobClass(job.specification.jobClass);
    if (job.rank !== URGENT_RANK) {
      return nowMs + jobClass.checkpointMs;
    }
    const targetMs = jobClass.startTargetMs ?? URGENT_START_TARGET_MS;
    return Math.max(nowMs, job.queuedAtMs + targetMs - START_MARGIN_MS);
  }

  #racksToPreempt(job: JobState): WorkerState[][] {
    const needed = gangAccelerators(job);
    const candidates: { rack: RackState; missing: number }[] = [];
    for (const rack of this.#context.index.racks.values()) {
      const missing = Math.max(0, needed - rack.freeAccelerators);
      const isCandidate = missing <= evictableAbove(rack, job.rank) ||
        this.#context.mutations.has("evictsGuarantees");
      if (isCandidate) {
        candidates.push({ rack, missing });
      }
    }
    if (candidates.length === 0 && job.specification.adjacency === "any") {
      return [...this.#context.index.racks.values()]
        .map((rack) => rack.workers);
    }
    candidates.sort((left, right) => left.missing - right.missing);
    return candidates.slice(0, EVALUATED_RACKS_LIMIT).map(({ rack }) =>
      rack.workers
    );
  }

  /** Capacity of gangs with a later stop deadline doesn't count as free. */
  #latestStopMs(job: JobState): number {
    return job.rank === URGENT_RANK ? this.#checkpointDeadline(job) : Infinity;
  }

  #evictionOptions(
    job: JobState,
    isEvictable: (job: JobState) => boolean,
  ): EvictionOptions {
    const latestStopMs = this.#latestStopMs(job);
    const availableOf = (worker: WorkerState) =>
      worker.isPlaceable
        ? withoutSlowStops(worker, worker.availableAfterStops(), latestStopMs)
        : ZERO_AMOUNTS;
    return {
      nowMs: this.#context.nowMs,
      hasTimeToCheckpoint: job.rank !== URGENT_RANK,
      isEvictable,
      availableOf,
      maxAvailableOf: (worker: WorkerState) => {
        if (!worker.isPlaceable) {
          return ZERO_AMOUNTS;
        }
        const available = withoutSlowStops(
          worker,
          worker.availableAfterStops(),
          latestStopMs,
        );
        return withEvictable(worker, available, isEvictable);
      },
    };
  }
}

function evictableAbove(rack: RackState, rank: number): number {
  let total = 0;
  for (let index = rank + 1; index < RANK_COUNT; index++) {
    total += rack.evictableByRank[index] ?? 0;
  }
  return total;
}

function withEvictable(
  worker: WorkerState,
  available: Amounts,
  isEvictable: (job: JobState) => boolean,
): Amounts {
  for (const { job, tasks } of worker.allocations.values()) {
    if (job.phase !== JobPhase.stopping && isEvictable(job)) {
      addAmounts(available, job.need, { factor: tasks });
    }
  }
  return available;
}

/** Subtracts the resources of gangs whose stop deadline is too late. */
function withoutSlowStops(
  worker: WorkerState,
  available: Amounts,
  latestStopMs: number,
): Amounts {
  const hasStops = worker.stopping.accelerators > 0 ||
    worker.stopping.milliCores > 0 || worker.stopping.memoryBytes > 0;
  if (latestStopMs === Infinity || !hasStops) {
    return available;
  }
  for (const { job, tasks } of worker.allocations.values()) {
    const isSlow = job.phase === JobPhase.stopping &&
      job.stopDeadlineMs > latestStopMs;
    if (isSlow) {
      addAmounts(available, job.need, { factor: -tasks });
    }
  }
  return available;
}

/** What guarantees can use once the gangs being stopped are gone. */
function availableForGuarantees(worker: WorkerState): Amounts {
  const available = worker.free();
  addAmounts(available, worker.stopping);
  addAmounts(available, reservedForGuarantees(worker), { factor: -1 });
  return available;
}

function maxAvailableForAccount(
  worker: WorkerState,
  account: string,
  isOwnLessUrgent: (job: JobState) => boolean,
): Readonly<Amounts> {
  if (!worker.isPlaceable) {
    return ZERO_AMOUNTS;
  }
  return withEvictable(
    worker,
    worker.unusedGuarantee(account),
    (job) => job.isGuaranteed && isOwnLessUrgent(job),
  );
}
