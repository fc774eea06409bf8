/**
 * Holds room for gangs whose victims are leaving, or behind which work drains.
 *
 * @module
 */

import { addAmounts, isWithin, noAmounts } from "./amounts.ts";
import type { CoreContext } from "./core_context.ts";
import { chooseVictims } from "./eviction.ts";
import type { GangLifecycle } from "./gang_lifecycle.ts";
import { gangAccelerators, type JobState } from "./job_state.ts";
import type { Block } from "./placement.ts";
import { type Reservation, ReservationKind } from "./reservation.ts";
import type { StopReason, WaitReason } from "./scheduler_decision.ts";
import type { WorkerState } from "./worker_state.ts";

/** How long victims may take beyond their checkpoint deadline. */
export const EVICTION_GRACE_MS = 60_000;
/** How often reservations of others may evict the same job. */
const DRAIN_EVICTIONS_LIMIT = 2;

/** What a reservation is opened with. */
export interface ReservationOptions {
  readonly kind: ReservationKind;
  readonly block: Block;
  readonly victims: Iterable<JobState>;
  /** Until when the victims may checkpoint; for a drain, when it ends. */
  readonly deadlineMs: number;
}

const REASONS: Readonly<Record<ReservationKind, WaitReason>> = {
  reclaim: "preemption",
  preemption: "preemption",
  drain: "reservation",
};

const STOP_REASONS: Readonly<Record<ReservationKind, StopReason>> = {
  reclaim: "guaranteeReclaimed",
  preemption: "preempted",
  drain: "migrated",
};

/** Every reservation of one data centre. */
export class ReservationManager {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #open = new Set<Reservation>();

  constructor(options: { context: CoreContext; lifecycle: GangLifecycle }) {
    this.#context = options.context;
    this.#lifecycle = options.lifecycle;
    this.#lifecycle.onRoom((workers) => this.startReady(workers));
  }

  get size(): number {
    return this.#open.size;
  }

  all(): Iterable<Reservation> {
    return this.#open;
  }

  /** Accelerators held by reservations that drain. */
  drainingAccelerators(): number {
    return this.#accelerators(ReservationKind.drain);
  }

  /** Accelerators held for guarantees whose borrowers are leaving. */
  reclaimingAccelerators(): number {
    return this.#accelerators(ReservationKind.reclaim);
  }

  /** Holds a block for a queued job, and evicts the victims. */
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
    this.#context.setWaitReason(job, REASONS[kind]);
    this.#evict(reservation, options.victims, options.deadlineMs);
    this.#giveWay(reservation);
    this.#armDeadline(reservation);
  }

  /** Gives the room up; the job waits in the queue again. */
  cancel(reservation: Reservation): void {
    this.drop(reservation);
    this.#context.setWaitReason(reservation.job, "capacity");
    this.#context.enqueue(reservation.job);
  }

  /** Gives the room up, as the job needs it no more. */
  drop(reservation: Reservation): void {
    if (!this.#open.delete(reservation)) {
      return;
    }
    reservation.job.reservation = undefined;
    this.#context.ledger.unreserve(reservation);
    this.#context.roomFreed();
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

  /** Starts what has all its room on these workers. */
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

  #accelerators(wanted: ReservationKind): number {
    let total = 0;
    for (const { kind, job } of this.#open) {
      total += kind === wanted ? gangAccelerators(job) : 0;
    }
    return total;
  }

  #startIfReady(reservation: Reservation): void {
    const { job, block, kind } = reservation;
    const isReady = this.#open.has(reservation) &&
      this.#context.startBarrierFor(job) === undefined &&
      hasAllRoom(reservation);
    if (!isReady) {
      return;
    }
    this.drop(reservation);
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

  /** A guarantee goes before whatever else is reserved on its workers. */
  #giveWay(reservation: Reservation): void {
    if (reservation.kind !== ReservationKind.reclaim) {
      return;
    }
    for (const worker of reservation.block.keys()) {
      for (const other of [...worker.reservations]) {
        const isShort = !isWithin(noAmounts(), worker.futureRoom());
        if (isShort && other.kind !== ReservationKind.reclaim) {
          this.cancel(other);
        }
      }
    }
  }

  #armDeadline(reservation: Reservation): void {
    this.#context.at(reservation.deadlineMs, () => {
      if (this.#open.has(reservation)) {
        this.#pastDeadline(reservation);
      }
    });
  }

  #pastDeadline(reservation: Reservation): void {
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
    this.#armDeadline(reservation);
  }

  #drainVictims(reservation: Reservation): Set<JobState> | undefined {
    const { job, block } = reservation;
    return chooseVictims(block, job.need, {
      nowMs: this.#context.nowMs,
      hasTimeToCheckpoint: true,
      roomOf: (worker) => {
        const room = worker.futureRoom();
        addAmounts(room, job.need, { factor: block.get(worker) ?? 0 });
        return room;
      },
      isEvictable: (victim) => isDrainable(victim, job),
    });
  }
}

/**
 * Whether a gang may be moved for a larger one that has waited long: work on
 * loan, and what its own client account runs within the guarantee.
 */
export function isDrainable(victim: JobState, claimant: JobState): boolean {
  const isOwn = victim.specification.clientAccount ===
    claimant.specification.clientAccount;
  return (isOwn || !victim.isGuaranteed) &&
    victim.specification.canCheckpoint && victim.rank >= claimant.rank &&
    gangAccelerators(victim) < gangAccelerators(claimant) &&
    victim.drainEvictions < DRAIN_EVICTIONS_LIMIT;
}

function hasAllRoom(reservation: Reservation): boolean {
  for (const [worker, tasks] of reservation.block) {
    const needed = noAmounts();
    addAmounts(needed, reservation.job.need, { factor: tasks });
    if (!worker.isPlaceable || !isWithin(needed, worker.free())) {
      return false;
    }
  }
  return true;
}
