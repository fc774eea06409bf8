/**
 * Holds capacity for gangs while other gangs on it are evicted or finish.
 *
 * @module
 */

import { addAmounts, isWithin, zeroAmounts } from "./amounts.ts";
import type { CoreContext } from "./core_context.ts";
import { chooseVictims } from "./eviction.ts";
import type { GangLifecycle } from "./gang_lifecycle.ts";
import { gangAccelerators, type JobState } from "./job_state.ts";
import type { Block } from "./placement.ts";
import { type Reservation, ReservationKind } from "./reservation.ts";
import type { StopReason, WaitReason } from "./scheduler_decision.ts";
import type { WorkerState } from "./worker_state.ts";

/** Time that victims get to stop after their checkpoint deadline. */
export const EVICTION_GRACE_MS = 60_000;
/** How many times draining reservations may evict the same job. */
const DRAIN_EVICTIONS_LIMIT = 2;

/** Options of {@link ReservationManager.open}. */
export interface ReservationOptions {
  readonly kind: ReservationKind;
  readonly block: Block;
  readonly victims: Iterable<JobState>;
  /** Checkpoint deadline of the victims; for a drain, when draining ends. */
  readonly deadlineMs: number;
}

const WAIT_REASONS: Readonly<Record<ReservationKind, WaitReason>> = {
  reclaim: "preemption",
  preemption: "preemption",
  drain: "reservation",
};

const STOP_REASONS: Readonly<Record<ReservationKind, StopReason>> = {
  reclaim: "guaranteeReclaimed",
  preemption: "preempted",
  drain: "migrated",
};

/** All reservations of one data centre. */
export class ReservationManager {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #open = new Set<Reservation>();

  constructor(options: { context: CoreContext; lifecycle: GangLifecycle }) {
    this.#context = options.context;
    this.#lifecycle = options.lifecycle;
    this.#lifecycle.onCapacityFreed((workers) => this.startReady(workers));
  }

  get size(): number {
    return this.#open.size;
  }

  all(): Iterable<Reservation> {
    return this.#open;
  }

  /** Accelerators held by draining reservations. */
  drainingAccelerators(): number {
    return this.#heldAccelerators(ReservationKind.drain);
  }

  /** Accelerators held by reclaims for guarantees. */
  reclaimingAccelerators(): number {
    return this.#heldAccelerators(ReservationKind.reclaim);
  }

  /** Reserves a block for a queued job, and evicts the victims. */
  open(job: JobState, options: ReservationOptions): void {
    const { kind, block } = options;
    const isDrain = kind === ReservationKind.drain;
    const reservation: Reservation = {
      kind,
      job,
      block,
      deadlineMs: isDrain
        ? options.deadlineMs
        : options.deadlineMs + EVICTION_GRACE_MS,
      isEvicting: !isDrain,
    };
    this.#context.queue.remove(job);
    job.reservation = reservation;
    this.#open.add(reservation);
    this.#context.ledger.reserve(reservation);
    this.#context.setWaitReason(job, WAIT_REASONS[kind]);
    this.#evict(reservation, options.victims, options.deadlineMs);
    this.#cancelConflicting(reservation);
    this.#scheduleDeadline(reservation);
  }

  /** Releases a reservation and puts its job back in the queue. */
  cancel(reservation: Reservation): void {
    this.close(reservation);
    this.#context.setWaitReason(reservation.job, "capacity");
    this.#context.enqueue(reservation.job);
  }

  /** Releases a reservation whose job no longer needs it. */
  close(reservation: Reservation): void {
    if (!this.#open.delete(reservation)) {
      return;
    }
    reservation.job.reservation = undefined;
    this.#context.ledger.unreserve(reservation);
    this.#context.recordFreedCapacity();
  }

  cancelOn(worker: WorkerState): void {
    for (const reservation of [...worker.reservations]) {
      this.cancel(reservation);
    }
  }

  cancelAll(): void {
    for (const reservation of [...this.#open]) {
      this.cancel(reservation);
    }
  }

  /** Starts the jobs of reservations on these workers whose block is free. */
  startReady(workers: Iterable<WorkerState>): void {
    for (const worker of workers) {
      for (const reservation of [...worker.reservations]) {
        this.#startIfReady(reservation);
      }
    }
  }

  startAllReady(): void {
    for (const reservation of [...this.#open]) {
      this.#startIfReady(reservation);
    }
  }

  #heldAccelerators(wanted: ReservationKind): number {
    let total = 0;
    for (const { kind, job } of this.#open) {
      total += kind === wanted ? gangAccelerators(job) : 0;
    }
    return total;
  }

  #startIfReady(reservation: Reservation): void {
    const { job, block, kind } = reservation;
    const isReady = this.#open.has(reservation) &&
      this.#context.startWaitReasonFor(job) === undefined &&
      isBlockFree(reservation);
    if (!isReady) {
      return;
    }
    this.close(reservation);
    this.#lifecycle.start(job, block, kind === ReservationKind.reclaim);
  }

  #evict(
    reservation: Reservation,
    victims: Iterable<JobState>,
    deadlineMs: number,
  ): void {
    const { nowMs, policy } = this.#context;
    for (const victim of victims) {
      const { checkpointMs } = policy.jobClass(victim.specification.jobClass);
      this.#lifecycle.stop(victim, {
        reason: STOP_REASONS[reservation.kind],
        checkpointDeadlineMs: Math.min(deadlineMs, nowMs + checkpointMs),
      });
    }
  }

  /** Cancels other reservations that a reclaim leaves without capacity. */
  #cancelConflicting(reservation: Reservation): void {
    if (reservation.kind !== ReservationKind.reclaim) {
      return;
    }
    for (const worker of reservation.block.keys()) {
      for (const other of [...worker.reservations]) {
        const isShort = !isWithin(zeroAmounts(), worker.availableAfterStops());
        if (isShort && other.kind !== ReservationKind.reclaim) {
          this.cancel(other);
        }
      }
    }
  }

  #scheduleDeadline(reservation: Reservation): void {
    this.#context.schedule(reservation.deadlineMs, () => {
      if (this.#open.has(reservation)) {
        this.#handleDeadline(reservation);
      }
    });
  }

  #handleDeadline(reservation: Reservation): void {
    const victims = reservation.isEvicting
      ? undefined
      : this.#drainVictims(reservation);
    if (victims === undefined) {
      this.cancel(reservation);
      return;
    }
    for (const victim of victims) {
      victim.drainEvictions += 1;
    }
    const { policy, nowMs } = this.#context;
    const jobClass = policy.jobClass(reservation.job.specification.jobClass);
    const deadlineMs = nowMs + jobClass.checkpointMs;
    reservation.isEvicting = true;
    reservation.deadlineMs = deadlineMs + EVICTION_GRACE_MS;
    this.#evict(reservation, victims, deadlineMs);
    this.#scheduleDeadline(reservation);
  }

  #drainVictims(reservation: Reservation): Set<JobState> | undefined {
    const { job, block } = reservation;
    return chooseVictims(block, job.need, {
      nowMs: this.#context.nowMs,
      hasTimeToCheckpoint: true,
      availableOf: (worker) => {
        const available = worker.availableAfterStops();
        addAmounts(available, job.need, { factor: block.get(worker) ?? 0 });
        return available;
      },
      isEvictable: (victim) => isDrainable(victim, job),
    });
  }
}

/**
 * Whether a gang may be evicted for a larger one that has waited long: if it
 * borrows, or belongs to the same client account.
 */
export function isDrainable(victim: JobState, claimant: JobState): boolean {
  const isOwn = victim.specification.clientAccount ===
    claimant.specification.clientAccount;
  return (isOwn || !victim.isGuaranteed) &&
    victim.specification.canCheckpoint && victim.rank >= claimant.rank &&
    gangAccelerators(victim) < gangAccelerators(claimant) &&
    victim.drainEvictions < DRAIN_EVICTIONS_LIMIT;
}

function isBlockFree(reservation: Reservation): boolean {
  for (const [worker, tasks] of reservation.block) {
    const needed = zeroAmounts();
    addAmounts(needed, reservation.job.need, { factor: tasks });
    if (!worker.isPlaceable || !isWithin(needed, worker.free())) {
      return false;
    }
  }
  return true;
}
