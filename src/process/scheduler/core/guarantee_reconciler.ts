/**
 * Keeps guarantees assigned to healthy workers, and decides which live gangs
 * count towards a guarantee.
 *
 * @module
 */

import type { ClientAccountId } from "../../../base/identity.ts";
import { addAmounts, isWithin, zeroAmounts } from "./amounts.ts";
import type { CoreContext } from "./core_context.ts";
import type { GuaranteeAssignment } from "./guarantee_assignments.ts";
import { JobPhase, type JobState } from "./job_state.ts";
import { type Reservation, ReservationKind } from "./reservation.ts";
import type { ReservationManager } from "./reservation_manager.ts";
import type { WorkerState } from "./worker_state.ts";

/** Keeps the guarantees of one data centre up to date. */
export class GuaranteeReconciler {
  readonly #context: CoreContext;
  readonly #reservations: ReservationManager;

  constructor(
    options: { context: CoreContext; reservations: ReservationManager },
  ) {
    this.#context = options.context;
    this.#reservations = options.reservations;
  }

  /** Places unplaced guarantees, then decides again which gangs they cover. */
  reconcile(): void {
    const { guarantees, ledger } = this.#context;
    if (!guarantees.needsRepair) {
      return;
    }
    guarantees.repair();
    this.#demote();
    for (const [clientAccount, account] of ledger.accounts()) {
      if (account.borrowedAccelerators > 0 || account.liveJobs.size > 0) {
        this.promote(clientAccount);
      }
    }
    this.#context.recordFreedCapacity();
  }

  /** Promotes for the accounts that changed since the last call. */
  promoteChanged(): void {
    const { accountsToPromote } = this.#context;
    for (const clientAccount of accountsToPromote) {
      this.promote(clientAccount);
    }
    accountsToPromote.clear();
  }

  /** Counts borrowing gangs as guaranteed where the guarantee covers them. */
  promote(clientAccount: ClientAccountId): void {
    const { guarantees, ledger } = this.#context;
    if (guarantees.assignmentsOf(clientAccount).length === 0) {
      return;
    }
    for (const job of ledger.account(clientAccount).liveJobs) {
      const isBorrowing = !job.isGuaranteed && job.phase !== JobPhase.stopping;
      const fits = isBorrowing &&
        (fitsGuarantee(job) || this.#moveAssignmentToWorkersOf(job));
      if (fits) {
        ledger.setGuaranteed(job, true);
      }
    }
  }

  /** Demotes gangs and cancels reclaims that no guarantee covers any longer. */
  #demote(): void {
    for (const reservation of [...this.#reservations.all()]) {
      if (isReclaimBeyondGuarantee(reservation)) {
        this.#reservations.cancel(reservation);
      }
    }
    for (const account of this.#context.ledger.accounts().values()) {
      for (const job of account.liveJobs) {
        const isBeyond = job.isGuaranteed &&
          job.phase !== JobPhase.stopping &&
          [...job.workers.keys()].some((worker) =>
            exceedsGuarantee(worker, job)
          );
        if (isBeyond) {
          this.#context.ledger.setGuaranteed(job, false);
        }
      }
    }
  }

  /** Moves an unused one-rack assignment onto the gang's workers, if it can. */
  #moveAssignmentToWorkersOf(job: JobState): boolean {
    const { guarantees } = this.#context;
    for (
      const assignment of guarantees.assignmentsOf(
        job.specification.clientAccount,
      )
    ) {
      const isMovable = assignment.workers.length > 0 &&
        assignment.shape.racks === 1 &&
        !guarantees.isInUse(assignment);
      const workers = isMovable
        ? workersForAssignment(job, assignment)
        : undefined;
      if (workers !== undefined) {
        guarantees.move(assignment, workers);
        return fitsGuarantee(job);
      }
    }
    return false;
  }
}

function fitsGuarantee(job: JobState): boolean {
  for (const [worker, tasks] of job.workers) {
    const needed = zeroAmounts();
    addAmounts(needed, job.need, { factor: tasks });
    const unused = worker.unusedGuarantee(job.specification.clientAccount);
    if (!isWithin(needed, unused)) {
      return false;
    }
  }
  return true;
}

/** Whether the job's client account uses more there than its guarantee. */
export function exceedsGuarantee(worker: WorkerState, job: JobState): boolean {
  const unused = worker.unusedGuarantee(job.specification.clientAccount);
  return !isWithin(zeroAmounts(), unused);
}

function isReclaimBeyondGuarantee(reservation: Reservation): boolean {
  return reservation.kind === ReservationKind.reclaim &&
    [...reservation.block.keys()]
      .some((worker) => exceedsGuarantee(worker, reservation.job));
}

/** Workers for the assignment that include all workers of the gang. */
function workersForAssignment(
  job: JobState,
  assignment: GuaranteeAssignment,
): WorkerState[] | undefined {
  const { workersPerRack, acceleratorsPerWorker } = assignment.shape;
  const own = [...job.workers.keys()];
  const first = own[0];
  const isPossible = first !== undefined && own.length <= workersPerRack &&
    own.every((worker) =>
      worker.rack === first.rack &&
      canHoldAssignment(worker, assignment) &&
      (job.workers.get(worker) ?? 0) * job.need.accelerators <=
        acceleratorsPerWorker
    );
  if (!isPossible) {
    return undefined;
  }
  const others = first.rack.workers
    .filter((worker) =>
      !own.includes(worker) && canHoldAssignment(worker, assignment)
    )
    .slice(0, workersPerRack - own.length);
  const workers = [...own, ...others];
  return workers.length === workersPerRack ? workers : undefined;
}

/** Whether a reclaim there would evict a gang that can't be checkpointed. */
function hasUncheckpointableBorrower(worker: WorkerState): boolean {
  for (const { job } of worker.allocations.values()) {
    if (!job.isGuaranteed && !job.specification.canCheckpoint) {
      return true;
    }
  }
  return false;
}

/** Whether a worker could hold its part of the assignment. */
function canHoldAssignment(
  worker: WorkerState,
  assignment: GuaranteeAssignment,
): boolean {
  const unassigned = worker.capacity.accelerators -
    worker.guaranteeCapacity.accelerators;
  const freed = assignment.workers.includes(worker)
    ? assignment.shape.acceleratorsPerWorker
    : 0;
  return worker.isHealthy && !hasUncheckpointableBorrower(worker) &&
    unassigned + freed >= assignment.shape.acceleratorsPerWorker;
}
