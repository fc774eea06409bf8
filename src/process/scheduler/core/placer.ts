/**
 * Finds a place for one waiting job, or the reason why there is none.
 *
 * @module
 */

import {
  addAmounts,
  type Amounts,
  minimumAmounts,
  noAmounts,
} from "./amounts.ts";
import { hasExcess } from "./cell_upkeep.ts";
import type { CoreContext } from "./core_context.ts";
import { type EvictionPlan, planEviction } from "./eviction.ts";
import type { GangLifecycle } from "./gang_lifecycle.ts";
import { gangAccelerators, JobPhase, type JobState } from "./job_state.ts";
import { reservedForGuarantees } from "./ledger.ts";
import {
  type Block,
  type BlockRequest,
  findBlockAmong,
  findFreeBlock,
  requestOf,
} from "./placement.ts";
import type { RackState } from "./rack_index.ts";
import { type Reservation, ReservationKind } from "./reservation.ts";
import { isDrainable, type ReservationManager } from "./reservation_manager.ts";
import type { WaitReason } from "./scheduler_decision.ts";
import { RANK_COUNT, type WorkerState } from "./worker_state.ts";

/** The rank of job classes that start at once. */
export const URGENT_RANK = 0;
/** Within what time urgent work starts when its class doesn't say. */
const URGENT_START_TARGET_MS = 1_900;
/** Left over of the start target for the start itself. */
const START_MARGIN_MS = 700;
/** Racks whose victims are weighed for one job. */
const RACKS_WEIGHED = 12;
/** Most of all accelerators that may be held by draining reservations. */
const DRAINING_FRACTION = 0.25;
/** The longest that a reservation drains. */
const DRAIN_LIMIT_MS = 300_000;

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
  /** What was tried in vain since room last came free. */
  readonly #triedInVain = new Set<string>();

  constructor(
    options: {
      context: CoreContext;
      lifecycle: GangLifecycle;
      reservations: ReservationManager;
    },
  ) {
    this.#context = options.context;
    this.#lifecycle = options.lifecycle;
    this.#reservations = options.reservations;
  }

  /** Forgets what was tried in vain, since room came free. */
  roomFreed(): void {
    this.#triedInVain.clear();
  }

  /** Starts a queued job, or reserves a place for it, or says why not. */
  place(job: JobState): PlacingResult {
    const barrier = this.#context.startBarrier() ?? this.#returnBarrier(job);
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
      this.#startOnLoan(job, request) || this.#reclaim(job, request) ||
      this.#preempt(job, request) || this.#backfill(job, request);
  }

  /** Reserves a block that drains for a job that has waited long. */
  drainFor(job: JobState): boolean {
    const { index, policy, nowMs } = this.#context;
    const limit = policy.declaredAccelerators * DRAINING_FRACTION;
    const draining = this.#reservations.drainingAccelerators();
    const accelerators = gangAccelerators(job);
    const isAllowed = this.#mayBorrow(job) &&
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

  /** Holds work back after a return, but for urgent work. */
  #returnBarrier(job: JobState): WaitReason | undefined {
    const { returnedAtMs, policy, ledger, nowMs } = this.#context;
    if (returnedAtMs === undefined || job.rank === URGENT_RANK) {
      return undefined;
    }
    const minutes = (nowMs - returnedAtMs) / 60_000;
    const fraction = minutes * (policy.section?.returnFractionPerMinute ?? 1);
    if (fraction >= 1) {
      this.#context.returnedAtMs = undefined;
      return undefined;
    }
    const allowed = fraction * policy.declaredAccelerators;
    return ledger.liveAccelerators < allowed ? undefined : "returning";
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
    this.#lifecycle.start(job, block, true);
    return true;
  }

  #startOnLoan(job: JobState, request: BlockRequest): boolean {
    return this.#mayBorrow(job) && this.#startFree(job, request, false);
  }

  #startFree(
    job: JobState,
    request: BlockRequest,
    isGuaranteed: boolean,
  ): boolean {
    const shape = this.#context.queue.groupOf(job)?.shapeKey ?? "";
    if (this.#triedInVain.has(shape)) {
      return false;
    }
    const block = findFreeBlock(this.#context.index, request) ??
      this.#overcommitted(request);
    if (block === undefined) {
      this.#noteVain(shape, request);
      return false;
    }
    this.#lifecycle.start(job, block, isGuaranteed);
    return true;
  }

  /** Evicts work beyond guarantees from the client account's own cells. */
  #reclaim(job: JobState, request: BlockRequest): boolean {
    const { cells } = this.#context;
    const account = job.specification.clientAccount;
    const racks = cells.racksOf(account);
    const key = `reclaim|${this.#context.queue.groupOf(job)?.key}`;
    if (racks.length === 0 || this.#triedInVain.has(key)) {
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
      this.#noteVain(key, request);
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
  #preempt(job: JobState, request: BlockRequest): boolean {
    const mayPreempt = job.rank === URGENT_RANK && this.#mayBorrow(job);
    const key = `preempt|${this.#context.queue.groupOf(job)?.shapeKey}`;
    if (!mayPreempt || this.#triedInVain.has(key)) {
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
      this.#noteVain(key, request);
      return false;
    }
    this.#openEviction(job, ReservationKind.preemption, plan);
    return true;
  }

  /** Runs short work on room that is being drained for a large gang. */
  #backfill(job: JobState, request: BlockRequest): boolean {
    if (this.#reservations.size === 0 || !this.#mayBorrow(job)) {
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

  #evictionOptions(job: JobState, isEvictable: (job: JobState) => boolean) {
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

  /** A block where there is no room, under the mutation that wants it. */
  #overcommitted(request: BlockRequest): Block | undefined {
    const { mutations, index } = this.#context;
    const [worker] = index.workers.values();
    const isWanted = mutations.has("overcommitsWorkers") &&
      worker !== undefined;
    return isWanted ? new Map([[worker, request.tasks]]) : undefined;
  }

  #noteVain(key: string, request: BlockRequest): void {
    if (request.avoided.size === 0) {
      this.#triedInVain.add(key);
    }
  }

  #mayBorrow(job: JobState): boolean {
    return this.#borrowingBarrier(job) === undefined;
  }

  #borrowingBarrier(job: JobState): WaitReason | undefined {
    const { policy, ledger } = this.#context;
    const name = job.specification.clientAccount;
    const section = policy.clientAccount(name);
    if (section === undefined || section.borrowingWeight === 0) {
      return "fairShare";
    }
    const limit = section.borrowingLimitAccelerators;
    const held = ledger.account(name).borrowedAccelerators;
    return limit !== undefined && held + gangAccelerators(job) > limit
      ? "borrowingLimit"
      : undefined;
  }

  #reasonFor(job: JobState): WaitReason {
    const borrowing = this.#borrowingBarrier(job);
    if (borrowing !== undefined) {
      return borrowing;
    }
    const { index, policy } = this.#context;
    const needed = gangAccelerators(job);
    if (index.freeAccelerators >= needed && needed > 0) {
      return "fragmentation";
    }
    const isShort = index.workers.size < policy.declaredWorkers &&
      [...this.#reservations.all()].length === 0 &&
      this.#context.ledger.liveAccelerators === 0;
    return isShort ? "workersMissing" : "capacity";
  }
}

function waits(reason: WaitReason): PlacingResult {
  return { isPlaced: false, reason };
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
