/**
 * Makes room by eviction: for guarantees, for urgent work and, with a deadline,
 * for gangs that have waited long.
 *
 * @module
 */

import { addAmounts, type Amounts, noAmounts } from "./amounts.ts";
import { mayBorrow } from "./borrowing.ts";
import { hasExcess } from "./cell_upkeep.ts";
import { type CoreContext, URGENT_RANK } from "./core_context.ts";
import {
  type EvictionOptions,
  type EvictionPlan,
  planEviction,
} from "./eviction.ts";
import { gangAccelerators, JobPhase, type JobState } from "./job_state.ts";
import { reservedForGuarantees } from "./ledger.ts";
import { type Block, type BlockRequest, requestOf } from "./placement.ts";
import { DRAIN_LIMIT_MS, ReservationKind } from "./reservation.ts";
import { isDrainable, type ReservationManager } from "./reservation_manager.ts";
import type { VainTries } from "./vain_tries.ts";
import {
  type RackState,
  RANK_COUNT,
  type WorkerState,
} from "./worker_state.ts";

/** Within what time urgent work starts when its class doesn't say. */
const URGENT_START_TARGET_MS = 1_900;
/** Left over of the start target for the start itself. */
const START_MARGIN_MS = 700;
/** Racks whose victims are weighed for one job. */
const RACKS_WEIGHED = 12;
/** Most of all accelerators that may be held by draining reservations. */
const DRAINING_FRACTION = 0.25;

const NOTHING: Readonly<Amounts> = Object.freeze(noAmounts());

/** The evictions of one data centre. */
export class Evictor {
  readonly #context: CoreContext;
  readonly #reservations: ReservationManager;
  readonly #vain: VainTries;

  constructor(
    options: {
      context: CoreContext;
      reservations: ReservationManager;
      vain: VainTries;
    },
  ) {
    this.#context = options.context;
    this.#reservations = options.reservations;
    this.#vain = options.vain;
  }

  /** Evicts work beyond guarantees from the client account's own cells. */
  reclaim(job: JobState, request: BlockRequest): boolean {
    const { cells } = this.#context;
    const account = job.specification.clientAccount;
    const racks = cells.racksOf(account);
    const key = `reclaim|${this.#context.queue.groupOf(job)?.key}`;
    if (racks.length === 0 || this.#vain.has(key)) {
      return false;
    }
    const isOwnLower = (victim: JobState) =>
      job.rank === URGENT_RANK && victim.rank > job.rank &&
      victim.specification.clientAccount === account;
    const isEvictable = (victim: JobState) =>
      !victim.isGuaranteed || isOwnLower(victim) ||
      this.#context.mutations.has("evictsGuarantees");
    const plan = planEviction(racks, request, {
      nowMs: this.#context.nowMs,
      hasTimeToCheckpoint: job.rank !== URGENT_RANK,
      potentialOf: (worker) => ownPotential(worker, account, isOwnLower),
      roomOf: (worker) => {
        const room = roomForGuarantees(worker);
        return withoutSlowStops(worker, room, this.#slowFromMs(job));
      },
      isEvictable,
    });
    if (plan === undefined) {
      this.#vain.note(key, request);
      return false;
    }
    this.#openEviction(job, ReservationKind.reclaim, plan);
    this.#demoteLower(plan.block, isOwnLower);
    return true;
  }

  /** Own lower work that needn't go counts as on loan where both can't be. */
  #demoteLower(
    block: Block,
    isOwnLower: (job: JobState) => boolean,
  ): void {
    for (const worker of block.keys()) {
      for (const { job } of worker.allocations.values()) {
        const isDemoted = job.isGuaranteed && isOwnLower(job) &&
          job.phase !== JobPhase.stopping && hasExcess(worker, job);
        if (isDemoted) {
          this.#context.ledger.setGuaranteed(job, false);
        }
      }
    }
  }

  /** Evicts lower work on loan for urgent work. */
  preempt(job: JobState, request: BlockRequest): boolean {
    const mayPreempt = job.rank === URGENT_RANK &&
      mayBorrow(job, this.#context);
    const key = `preempt|${this.#context.queue.groupOf(job)?.shapeKey}`;
    if (!mayPreempt || this.#vain.has(key)) {
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
      this.#vain.note(key, request);
      return false;
    }
    this.#openEviction(job, ReservationKind.preemption, plan);
    return true;
  }

  /** Reserves a block that drains for a job that has waited long. */
  drainFor(job: JobState): boolean {
    const { index, policy, nowMs } = this.#context;
    const limit = policy.declaredAccelerators * DRAINING_FRACTION;
    const draining = this.#reservations.drainingAccelerators();
    const accelerators = gangAccelerators(job);
    const isAllowed = mayBorrow(job, this.#context) &&
      this.#context.startBarrierFor(job) === undefined &&
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

  /** Until when victims may checkpoint for this job. */
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
    return candidates.slice(0, RACKS_WEIGHED).map(({ rack }) => rack.workers);
  }

  /** Stops that end later than this are too slow for the job. */
  #slowFromMs(job: JobState): number {
    return job.rank === URGENT_RANK ? this.#checkpointDeadline(job) : Infinity;
  }

  #evictionOptions(
    job: JobState,
    isEvictable: (job: JobState) => boolean,
  ): EvictionOptions {
    const slowFromMs = this.#slowFromMs(job);
    const roomOf = (worker: WorkerState) =>
      worker.isPlaceable
        ? withoutSlowStops(worker, worker.futureRoom(), slowFromMs)
        : NOTHING;
    return {
      nowMs: this.#context.nowMs,
      hasTimeToCheckpoint: job.rank !== URGENT_RANK,
      isEvictable,
      roomOf,
      potentialOf: (worker: WorkerState) => {
        if (!worker.isPlaceable) {
          return NOTHING;
        }
        const room = withoutSlowStops(worker, worker.futureRoom(), slowFromMs);
        return withEvictable(worker, room, isEvictable);
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
  room: Amounts,
  isEvictable: (job: JobState) => boolean,
): Amounts {
  for (const { job, tasks } of worker.allocations.values()) {
    if (job.phase !== JobPhase.stopping && isEvictable(job)) {
      addAmounts(room, job.need, { factor: tasks });
    }
  }
  return room;
}

/** The room without that of gangs whose stop takes too long. */
function withoutSlowStops(
  worker: WorkerState,
  room: Amounts,
  slowFromMs: number,
): Amounts {
  const hasStops = worker.stopping.accelerators > 0 ||
    worker.stopping.milliCores > 0 || worker.stopping.memoryBytes > 0;
  if (slowFromMs === Infinity || !hasStops) {
    return room;
  }
  for (const { job, tasks } of worker.allocations.values()) {
    const isSlow = job.phase === JobPhase.stopping &&
      job.stopDeadlineMs > slowFromMs;
    if (isSlow) {
      addAmounts(room, job.need, { factor: -tasks });
    }
  }
  return room;
}

/** What is there for guarantees once all that stops has stopped. */
function roomForGuarantees(worker: WorkerState): Amounts {
  const room = worker.free();
  addAmounts(room, worker.stopping);
  addAmounts(room, reservedForGuarantees(worker), { factor: -1 });
  return room;
}

function ownPotential(
  worker: WorkerState,
  account: string,
  isOwnLower: (job: JobState) => boolean,
): Readonly<Amounts> {
  if (!worker.isPlaceable) {
    return NOTHING;
  }
  return withEvictable(
    worker,
    worker.unusedPromise(account),
    (job) => job.isGuaranteed && isOwnLower(job),
  );
}
