/**
 * Keeps guarantee cells in place as workers come and go, and decides which
 * running gangs count as being within a guarantee.
 *
 * @module
 */

import type { ClientAccountId } from "../../../base/identity.ts";
import { addAmounts, isWithin, noAmounts } from "./amounts.ts";
import type { CoreContext } from "./core_context.ts";
import type { GuaranteeCell } from "./guarantee_cells.ts";
import { JobPhase, type JobState } from "./job_state.ts";
import { type Reservation, ReservationKind } from "./reservation.ts";
import type { ReservationManager } from "./reservation_manager.ts";
import type { WorkerState } from "./worker_state.ts";

/** The upkeep of the cells of one data centre. */
export class CellUpkeep {
  readonly #context: CoreContext;
  readonly #reservations: ReservationManager;

  constructor(
    options: { context: CoreContext; reservations: ReservationManager },
  ) {
    this.#context = options.context;
    this.#reservations = options.reservations;
  }

  /** Places cells that lost their place; then classes gangs anew. */
  run(): void {
    const { cells, ledger } = this.#context;
    if (!cells.isDirty) {
      return;
    }
    cells.repair();
    this.#demote();
    for (const [clientAccount, account] of ledger.accounts()) {
      if (account.borrowedAccelerators > 0 || account.live.size > 0) {
        this.promote(clientAccount);
      }
    }
    this.#context.roomFreed();
  }

  /** Promotes where something changed since the last time. */
  promoteChanged(): void {
    const { promotable } = this.#context;
    for (const clientAccount of promotable) {
      this.promote(clientAccount);
    }
    promotable.clear();
  }

  /** Counts gangs on loan as within the guarantee where it has room. */
  promote(clientAccount: ClientAccountId): void {
    const { cells, ledger } = this.#context;
    if (cells.cellsOf(clientAccount).length === 0) {
      return;
    }
    for (const job of ledger.account(clientAccount).live) {
      const isOnLoan = !job.isGuaranteed && job.phase !== JobPhase.stopping;
      const fits = isOnLoan &&
        (fitsPromise(job) || this.#moveCellUnder(job));
      if (fits) {
        ledger.setGuaranteed(job, true);
      }
    }
  }

  /** Takes gangs out of a guarantee whose cells have gone elsewhere. */
  #demote(): void {
    for (const reservation of [...this.#reservations.all()]) {
      if (isBeyondPromise(reservation)) {
        this.#reservations.cancel(reservation);
      }
    }
    for (const account of this.#context.ledger.accounts().values()) {
      for (const job of account.live) {
        const isBeyond = job.isGuaranteed &&
          job.phase !== JobPhase.stopping &&
          [...job.workers.keys()].some((worker) => hasExcess(worker, job));
        if (isBeyond) {
          this.#context.ledger.setGuaranteed(job, false);
        }
      }
    }
  }

  /** Moves an unused cell to where the gang runs, if no other is there. */
  #moveCellUnder(job: JobState): boolean {
    const { cells } = this.#context;
    for (const cell of cells.cellsOf(job.specification.clientAccount)) {
      const isLoose = cell.workers.length > 0 && cell.shape.racks === 1 &&
        !cells.isInUse(cell);
      const workers = isLoose ? workersAround(job, cell) : undefined;
      if (workers !== undefined) {
        cells.move(cell, workers);
        return fitsPromise(job);
      }
    }
    return false;
  }
}

function fitsPromise(job: JobState): boolean {
  for (const [worker, tasks] of job.workers) {
    const needed = noAmounts();
    addAmounts(needed, job.need, { factor: tasks });
    const unused = worker.unusedPromise(job.specification.clientAccount);
    if (!isWithin(needed, unused)) {
      return false;
    }
  }
  return true;
}

/** Whether the job's client account holds more there than its cells. */
export function hasExcess(worker: WorkerState, job: JobState): boolean {
  const unused = worker.unusedPromise(job.specification.clientAccount);
  return !isWithin(noAmounts(), unused);
}

function isBeyondPromise(reservation: Reservation): boolean {
  return reservation.kind === ReservationKind.reclaim &&
    [...reservation.block.keys()]
      .some((worker) => hasExcess(worker, reservation.job));
}

/** Workers for the cell that take in all of the gang's. */
function workersAround(
  job: JobState,
  cell: GuaranteeCell,
): WorkerState[] | undefined {
  const { workersPerRack, acceleratorsPerWorker } = cell.shape;
  const own = [...job.workers.keys()];
  const first = own[0];
  const isPossible = first !== undefined && own.length <= workersPerRack &&
    own.every((worker) =>
      worker.rack === first.rack &&
      hasRoomForCell(worker, cell) &&
      (job.workers.get(worker) ?? 0) * job.need.accelerators <=
        acceleratorsPerWorker
    );
  if (!isPossible) {
    return undefined;
  }
  const others = first.rack.workers
    .filter((worker) => !own.includes(worker) && hasRoomForCell(worker, cell))
    .slice(0, workersPerRack - own.length);
  const workers = [...own, ...others];
  return workers.length === workersPerRack ? workers : undefined;
}

/** Whether a reclaim there would lose work that can't be checkpointed. */
function holdsFragileLoan(worker: WorkerState): boolean {
  for (const { job } of worker.allocations.values()) {
    if (!job.isGuaranteed && !job.specification.canCheckpoint) {
      return true;
    }
  }
  return false;
}

/** Whether a worker outside the cell could take it in. */
function hasRoomForCell(worker: WorkerState, cell: GuaranteeCell): boolean {
  const unpromised = worker.capacity.accelerators -
    worker.promised.accelerators;
  const freed = cell.workers.includes(worker)
    ? cell.shape.acceleratorsPerWorker
    : 0;
  return worker.isHealthy && !holdsFragileLoan(worker) &&
    unpromised + freed >= cell.shape.acceleratorsPerWorker;
}
