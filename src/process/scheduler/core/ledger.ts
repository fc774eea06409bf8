/**
 * Accounts for what gangs and reservations take on workers, and keeps every sum
 * that depends on it.
 *
 * @module
 */

import type { ClientAccountId } from "../../../base/identity.ts";
import { addAmounts, type Amounts, zeroAmounts } from "./amounts.ts";
import { gangAccelerators, JobPhase, type JobState } from "./job_state.ts";
import type { Block } from "./placement.ts";
import type { RackIndex } from "./rack_index.ts";
import { type Reservation, ReservationKind } from "./reservation.ts";
import { addToAccount, type WorkerState } from "./worker_state.ts";

/** The holdings of one client account. */
export interface AccountState {
  /** Accelerators held beyond its guarantee. */
  borrowedAccelerators: number;
  /** Its jobs with an attempt that holds capacity. */
  readonly liveJobs: Set<JobState>;
  /** Its jobs that haven't ended and hold no capacity. */
  waitingJobs: number;
}

/** The accounting of one data centre. */
export class Ledger {
  readonly #index: RackIndex;
  readonly #accounts = new Map<ClientAccountId, AccountState>();
  #liveAccelerators = 0;
  #borrowedAccelerators = 0;

  constructor(options: { index: RackIndex }) {
    this.#index = options.index;
  }

  /** Accelerators held by gangs. */
  get liveAccelerators(): number {
    return this.#liveAccelerators;
  }

  /** Accelerators held beyond guarantees, by all client accounts. */
  get borrowedAccelerators(): number {
    return this.#borrowedAccelerators;
  }

  account(clientAccount: ClientAccountId): AccountState {
    let account = this.#accounts.get(clientAccount);
    if (account === undefined) {
      account = {
        borrowedAccelerators: 0,
        liveJobs: new Set(),
        waitingJobs: 0,
      };
      this.#accounts.set(clientAccount, account);
    }
    return account;
  }

  accounts(): ReadonlyMap<ClientAccountId, AccountState> {
    return this.#accounts;
  }

  /** Sets whether a job counts among its client account's waiting jobs. */
  setWaiting(job: JobState, isWaiting: boolean): void {
    if (job.isWaiting !== isWaiting) {
      job.isWaiting = isWaiting;
      const account = this.account(job.specification.clientAccount);
      account.waitingJobs += isWaiting ? 1 : -1;
    }
  }

  /** Allocates a block to a gang. */
  allocate(job: JobState, block: Block): void {
    const account = this.account(job.specification.clientAccount);
    account.liveJobs.add(job);
    for (const [worker, tasks] of block) {
      job.workers.set(worker, tasks);
      worker.allocations.set(job.specification.jobId, { job, tasks });
      addAmounts(worker.used, job.need, { factor: tasks });
      this.#liveAccelerators += job.need.accelerators * tasks;
      this.#addToSums(job, worker, 1);
      this.#index.refresh(worker);
    }
    this.#setBorrowed(job, job.isGuaranteed ? 0 : gangAccelerators(job));
  }

  /** Moves a gang to the phase `stopping`; its capacity will soon be free. */
  beginStopping(job: JobState): void {
    for (const worker of job.workers.keys()) {
      this.#addToSums(job, worker, -1);
    }
    job.phase = JobPhase.stopping;
    for (const [worker, tasks] of job.workers) {
      addAmounts(worker.stopping, job.need, { factor: tasks });
      this.#index.refresh(worker);
    }
  }

  /** Releases all capacity of a gang. */
  release(job: JobState): void {
    for (const worker of [...job.workers.keys()]) {
      this.releaseWorker(job, worker);
    }
    this.account(job.specification.clientAccount).liveJobs.delete(job);
    this.#setBorrowed(job, 0);
  }

  /** Releases a gang's capacity on one worker. */
  releaseWorker(job: JobState, worker: WorkerState): void {
    const tasks = job.workers.get(worker);
    if (tasks === undefined) {
      return;
    }
    this.#addToSums(job, worker, -1);
    if (job.phase === JobPhase.stopping) {
      addAmounts(worker.stopping, job.need, { factor: -tasks });
    }
    addAmounts(worker.used, job.need, { factor: -tasks });
    this.#liveAccelerators -= job.need.accelerators * tasks;
    worker.allocations.delete(job.specification.jobId);
    job.workers.delete(worker);
    this.#index.refresh(worker);
  }

  /** Sets whether a live gang counts towards its account's guarantee. */
  setGuaranteed(job: JobState, isGuaranteed: boolean): void {
    if (job.isGuaranteed === isGuaranteed) {
      return;
    }
    for (const worker of job.workers.keys()) {
      this.#addToSums(job, worker, -1);
    }
    job.isGuaranteed = isGuaranteed;
    for (const worker of job.workers.keys()) {
      this.#addToSums(job, worker, 1);
    }
    this.#setBorrowed(job, isGuaranteed ? 0 : gangAccelerators(job));
  }

  /** Holds a reservation's block; a reclaim also uses up the guarantee. */
  reserve(reservation: Reservation): void {
    for (const [worker, tasks] of reservation.block) {
      worker.reservations.add(reservation);
      addAmounts(worker.reserved, reservation.job.need, { factor: tasks });
      this.#addToGuaranteeUse(reservation, worker, tasks);
      this.#index.refresh(worker);
    }
  }

  unreserve(reservation: Reservation): void {
    for (const [worker, tasks] of reservation.block) {
      worker.reservations.delete(reservation);
      addAmounts(worker.reserved, reservation.job.need, { factor: -tasks });
      this.#addToGuaranteeUse(reservation, worker, -tasks);
      this.#index.refresh(worker);
    }
  }

  #addToGuaranteeUse(
    reservation: Reservation,
    worker: WorkerState,
    factor: number,
  ): void {
    if (reservation.kind === ReservationKind.reclaim) {
      const { need, specification } = reservation.job;
      addToAccount(worker.guaranteeUseByAccount, specification.clientAccount, {
        amounts: need,
        factor,
      });
    }
  }

  /**
   * Adds a gang (or, with `sign` -1, subtracts it) to the sums of guaranteed
   * or evictable resources; a gang being stopped is in neither.
   */
  #addToSums(job: JobState, worker: WorkerState, sign: number): void {
    if (job.phase === JobPhase.stopping) {
      return;
    }
    const tasks = job.workers.get(worker) ?? 0;
    if (job.isGuaranteed) {
      addToAccount(
        worker.guaranteeUseByAccount,
        job.specification.clientAccount,
        { amounts: job.need, factor: sign * tasks },
      );
      return;
    }
    const accelerators = sign * tasks * job.need.accelerators;
    addAt(worker.evictableByRank, job.rank, accelerators);
    addAt(worker.rack.evictableByRank, job.rank, accelerators);
  }

  #setBorrowed(job: JobState, accelerators: number): void {
    const account = this.account(job.specification.clientAccount);
    const change = accelerators - job.borrowedAccelerators;
    account.borrowedAccelerators += change;
    this.#borrowedAccelerators += change;
    job.borrowedAccelerators = accelerators;
  }
}

function addAt(counts: Int32Array, index: number, change: number): void {
  counts[index] = (counts[index] ?? 0) + change;
}

/** What reclaims for guarantees reserve on a worker. */
export function reservedForGuarantees(worker: WorkerState): Amounts {
  const total = zeroAmounts();
  for (const reservation of worker.reservations) {
    if (reservation.kind === ReservationKind.reclaim) {
      addAmounts(total, reservation.job.need, {
        factor: reservation.block.get(worker) ?? 0,
      });
    }
  }
  return total;
}
