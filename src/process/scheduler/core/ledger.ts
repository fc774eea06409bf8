/**
 * Enters and strikes out what gangs and reservations take on workers, with
 * every sum that depends on it.
 *
 * @module
 */

import type { ClientAccountId } from "../../../base/identity.ts";
import { addAmounts, type Amounts, noAmounts } from "./amounts.ts";
import { gangAccelerators, JobPhase, type JobState } from "./job_state.ts";
import type { Block } from "./placement.ts";
import type { RackIndex } from "./rack_index.ts";
import { type Reservation, ReservationKind } from "./reservation.ts";
import { addToAccount, type WorkerState } from "./worker_state.ts";

/** What one client account holds. */
export interface AccountState {
  /** Accelerators held beyond its guarantee. */
  borrowedAccelerators: number;
  /** Its gangs that hold room. */
  readonly live: Set<JobState>;
  /** Its jobs that haven't ended and hold no room. */
  waitingJobs: number;
}

/** The sums over workers and client accounts. */
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
      account = { borrowedAccelerators: 0, live: new Set(), waitingJobs: 0 };
      this.#accounts.set(clientAccount, account);
    }
    return account;
  }

  accounts(): ReadonlyMap<ClientAccountId, AccountState> {
    return this.#accounts;
  }

  /** Counts a job among its client account's waiting ones, or no longer. */
  setWaiting(job: JobState, isWaiting: boolean): void {
    if (job.isWaiting !== isWaiting) {
      job.isWaiting = isWaiting;
      const account = this.account(job.specification.clientAccount);
      account.waitingJobs += isWaiting ? 1 : -1;
    }
  }

  /** Gives a block to a gang. */
  occupy(job: JobState, block: Block): void {
    const account = this.account(job.specification.clientAccount);
    account.live.add(job);
    for (const [worker, tasks] of block) {
      job.workers.set(worker, tasks);
      worker.allocations.set(job.specification.jobId, { job, tasks });
      addAmounts(worker.used, job.need, { factor: tasks });
      this.#liveAccelerators += job.need.accelerators * tasks;
      this.#classify(job, worker, 1);
      this.#index.refresh(worker);
    }
    this.#borrow(job, job.isGuaranteed ? 0 : gangAccelerators(job));
  }

  /** Marks a gang's room as about to be free; before its phase changes. */
  beginStopping(job: JobState): void {
    for (const worker of job.workers.keys()) {
      this.#classify(job, worker, -1);
    }
    job.phase = JobPhase.stopping;
    for (const [worker, tasks] of job.workers) {
      addAmounts(worker.stopping, job.need, { factor: tasks });
      this.#index.refresh(worker);
    }
  }

  /** Takes back all room of a gang. */
  release(job: JobState): void {
    for (const worker of [...job.workers.keys()]) {
      this.releaseWorker(job, worker);
    }
    this.account(job.specification.clientAccount).live.delete(job);
    this.#borrow(job, 0);
  }

  /** Takes back a gang's room on one worker. */
  releaseWorker(job: JobState, worker: WorkerState): void {
    const tasks = job.workers.get(worker);
    if (tasks === undefined) {
      return;
    }
    this.#classify(job, worker, -1);
    if (job.phase === JobPhase.stopping) {
      addAmounts(worker.stopping, job.need, { factor: -tasks });
    }
    addAmounts(worker.used, job.need, { factor: -tasks });
    this.#liveAccelerators -= job.need.accelerators * tasks;
    worker.allocations.delete(job.specification.jobId);
    job.workers.delete(worker);
    this.#index.refresh(worker);
  }

  /** Moves a live gang into its guarantee, or out of it. */
  setGuaranteed(job: JobState, isGuaranteed: boolean): void {
    if (job.isGuaranteed === isGuaranteed) {
      return;
    }
    for (const worker of job.workers.keys()) {
      this.#classify(job, worker, -1);
    }
    job.isGuaranteed = isGuaranteed;
    for (const worker of job.workers.keys()) {
      this.#classify(job, worker, 1);
    }
    this.#borrow(job, isGuaranteed ? 0 : gangAccelerators(job));
  }

  /** Holds room; for a guarantee it is claimed as well. */
  reserve(reservation: Reservation): void {
    for (const [worker, tasks] of reservation.block) {
      worker.reservations.add(reservation);
      addAmounts(worker.reserved, reservation.job.need, { factor: tasks });
      this.#claim(reservation, worker, tasks);
      this.#index.refresh(worker);
    }
  }

  unreserve(reservation: Reservation): void {
    for (const [worker, tasks] of reservation.block) {
      worker.reservations.delete(reservation);
      addAmounts(worker.reserved, reservation.job.need, { factor: -tasks });
      this.#claim(reservation, worker, -tasks);
      this.#index.refresh(worker);
    }
  }

  #claim(reservation: Reservation, worker: WorkerState, factor: number): void {
    if (reservation.kind === ReservationKind.reclaim) {
      const { need, specification } = reservation.job;
      addToAccount(worker.guaranteedByAccount, specification.clientAccount, {
        amounts: need,
        factor,
      });
    }
  }

  /** What stops is neither within a guarantee nor evictable. */
  #classify(job: JobState, worker: WorkerState, sign: number): void {
    if (job.phase === JobPhase.stopping) {
      return;
    }
    const tasks = job.workers.get(worker) ?? 0;
    if (job.isGuaranteed) {
      addToAccount(
        worker.guaranteedByAccount,
        job.specification.clientAccount,
        { amounts: job.need, factor: sign * tasks },
      );
      return;
    }
    const accelerators = sign * tasks * job.need.accelerators;
    addAt(worker.evictableByRank, job.rank, accelerators);
    addAt(worker.rack.evictableByRank, job.rank, accelerators);
  }

  #borrow(job: JobState, accelerators: number): void {
    const account = this.account(job.specification.clientAccount);
    const change = accelerators - job.borrowedAccelerators;
    account.borrowedAccelerators += change;
    this.#borrowedAccelerators += change;
    job.borrowedAccelerators = accelerators;
  }
}

function addAt(counts: Int32Array, at: number, change: number): void {
  counts[at] = (counts[at] ?? 0) + change;
}

/** What reservations for guarantees hold on a worker. */
export function reservedForGuarantees(worker: WorkerState): Amounts {
  const total = noAmounts();
  for (const reservation of worker.reservations) {
    if (reservation.kind === ReservationKind.reclaim) {
      addAmounts(total, reservation.job.need, {
        factor: reservation.block.get(worker) ?? 0,
      });
    }
  }
  return total;
}
