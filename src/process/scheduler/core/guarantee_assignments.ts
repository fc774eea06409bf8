/**
 * Assigns every guaranteed shape to concrete workers, and to other ones when a
 * worker is lost.
 *
 * @module
 */

import type { ClientAccountId, DataCentreId } from "../../../base/identity.ts";
import type { Document } from "../../../version/document/document.ts";
import {
  addAmounts,
  type Amounts,
  isWithin,
  proportionalShare,
  zeroAmounts,
} from "./amounts.ts";
import {
  compareShapes,
  guaranteesOf,
  type PackingRack,
  packShape,
  type Shape,
} from "./guarantee_packing.ts";
import type { RackIndex } from "./rack_index.ts";
import { addToAccount, type WorkerState } from "./worker_state.ts";

/** One guaranteed shape and the workers that it is assigned to. */
export interface GuaranteeAssignment {
  /** Identifies the assignment across configuration versions. */
  readonly key: string;
  readonly clientAccount: ClientAccountId;
  readonly shape: Shape;
  /** Its workers; empty while there are not enough for the shape. */
  workers: readonly WorkerState[];
}

/** The guarantees of one data centre. */
export class GuaranteeAssignments {
  readonly #index: RackIndex;
  #assignments = new Map<string, GuaranteeAssignment>();
  #byAccount = new Map<ClientAccountId, GuaranteeAssignment[]>();
  #racksByAccount = new Map<ClientAccountId, WorkerState[][]>();
  #needsRepair = false;

  constructor(options: { index: RackIndex }) {
    this.#index = options.index;
  }

  /** Every guarantee, placed or not. */
  all(): Iterable<GuaranteeAssignment> {
    return this.#assignments.values();
  }

  /** Whether {@link repair} may have something to place. */
  get needsRepair(): boolean {
    return this.#needsRepair;
  }

  /** Applies a new configuration; unchanged shapes keep their workers. */
  configure(document: Document, dataCentre: DataCentreId): void {
    const wanted = new Map<string, GuaranteeAssignment>();
    for (
      const { clientAccount, guarantee } of guaranteesOf(document, dataCentre)
    ) {
      const { racks, workersPerRack, acceleratorsPerWorker } = guarantee;
      const shape = { racks, workersPerRack, acceleratorsPerWorker };
      const name = `${clientAccount}/${racks}x${workersPerRack}x` +
        `${acceleratorsPerWorker}`;
      const key = nextFreeKey(name, wanted);
      const known = this.#assignments.get(key);
      wanted.set(key, known ?? { key, clientAccount, shape, workers: [] });
      this.#needsRepair ||= known === undefined;
    }
    for (const [key, assignment] of this.#assignments) {
      if (!wanted.has(key)) {
        this.#unassign(assignment);
        this.#needsRepair = true;
      }
    }
    this.#assignments = wanted;
    this.#groupByAccount();
  }

  /** Releases the assignments on a worker that is no longer healthy. */
  handleWorkerUnavailable(worker: WorkerState): void {
    for (const clientAccount of [...worker.guaranteeCapacityByAccount.keys()]) {
      for (const assignment of this.#byAccount.get(clientAccount) ?? []) {
        if (assignment.workers.includes(worker)) {
          this.#unassign(assignment);
          this.#needsRepair = true;
        }
      }
    }
  }

  /** Requests a repair if a guarantee is unplaced. */
  handleWorkerAvailable(): void {
    for (const assignment of this.#assignments.values()) {
      if (assignment.workers.length === 0) {
        this.#needsRepair = true;
        return;
      }
    }
  }

  /**
   * Places the unplaced guarantees: first without moving others, then moving
   * those that aren't in use, and finally moving all.
   *
   * @returns false if there was nothing to do
   */
  repair(): boolean {
    if (!this.#needsRepair) {
      return false;
    }
    this.#needsRepair = false;
    const unplacedBefore = this.#unplaced();
    this.#placeAll(unplacedBefore);
    if (this.#unplaced().length > 0) {
      this.#repack((assignment) => this.#isInUse(assignment));
    }
    if (this.#unplaced().length > 0) {
      this.#repack(() => false);
    }
    this.#racksByAccount.clear();
    return true;
  }

  /** The workers assigned to a client account's guarantees, by rack. */
  racksOf(clientAccount: ClientAccountId): readonly WorkerState[][] {
    const known = this.#racksByAccount.get(clientAccount);
    if (known !== undefined) {
      return known;
    }
    const byRack = new Map<unknown, Set<WorkerState>>();
    for (const assignment of this.#byAccount.get(clientAccount) ?? []) {
      for (const worker of assignment.workers) {
        const workers = byRack.get(worker.rack) ?? new Set();
        byRack.set(worker.rack, workers.add(worker));
      }
    }
    const racks = [...byRack.values()].map((workers) => [...workers]);
    this.#racksByAccount.set(clientAccount, racks);
    return racks;
  }

  /** The unused part of a client account's guarantee, over all workers. */
  unusedTotal(clientAccount: ClientAccountId): Amounts {
    const total = zeroAmounts();
    for (const workers of this.racksOf(clientAccount)) {
      for (const worker of workers) {
        addAmounts(total, worker.unusedGuarantee(clientAccount));
      }
    }
    return total;
  }

  /** The guarantees of one client account. */
  assignmentsOf(
    clientAccount: ClientAccountId,
  ): readonly GuaranteeAssignment[] {
    return this.#byAccount.get(clientAccount) ?? [];
  }

  /** Moves a placed guarantee to other workers, which must have capacity. */
  move(assignment: GuaranteeAssignment, workers: readonly WorkerState[]): void {
    this.#unassign(assignment);
    this.#assign(assignment, workers);
    this.#racksByAccount.delete(assignment.clientAccount);
  }

  /** Whether guaranteed gangs use the assignment on its present workers. */
  isInUse(assignment: GuaranteeAssignment): boolean {
    return this.#isInUse(assignment);
  }

  #unplaced(): GuaranteeAssignment[] {
    return [...this.#assignments.values()]
      .filter((assignment) => assignment.workers.length === 0);
  }

  #placeAll(assignments: readonly GuaranteeAssignment[]): void {
    if (assignments.length === 0) {
      return;
    }
    const racks = this.#packingRacks();
    const ordered = [...assignments]
      .sort((left, right) => compareShapes(left.shape, right.shape));
    for (const assignment of ordered) {
      const workers = packShape(racks, assignment.shape);
      if (workers !== undefined) {
        this.#assign(assignment, workers);
      }
    }
  }

  /** Reassigns all but the pinned ones; undone unless more get workers. */
  #repack(isPinned: (assignment: GuaranteeAssignment) => boolean): void {
    const before = new Map<GuaranteeAssignment, readonly WorkerState[]>();
    const movable = [...this.#assignments.values()].filter((assignment) =>
      !isPinned(assignment)
    );
    const unplacedBefore = this.#unplaced().length;
    for (const assignment of movable) {
      before.set(assignment, assignment.workers);
      this.#unassign(assignment);
    }
    this.#placeAll(movable);
    if (this.#unplaced().length < unplacedBefore) {
      return;
    }
    for (const assignment of movable) {
      this.#unassign(assignment);
    }
    for (const [assignment, workers] of before) {
      if (workers.length > 0) {
        this.#assign(assignment, workers);
      }
    }
  }

  #packingRacks(): PackingRack<WorkerState>[] {
    const names = [...this.#index.racks.keys()].sort();
    return names.map((name) =>
      (this.#index.racks.get(name)?.workers ?? [])
        .filter((worker) => worker.isHealthy)
        .map((worker) => ({
          item: worker,
          accelerators: worker.capacity.accelerators -
            worker.guaranteeCapacity.accelerators,
        }))
    );
  }

  #isInUse(assignment: GuaranteeAssignment): boolean {
    return assignment.workers.some((worker) => {
      const share = proportionalShare(
        worker.capacity,
        assignment.shape.acceleratorsPerWorker,
      );
      return !isWithin(share, worker.unusedGuarantee(assignment.clientAccount));
    });
  }

  #assign(
    assignment: GuaranteeAssignment,
    workers: readonly WorkerState[],
  ): void {
    assignment.workers = workers;
    this.#addToWorkers(assignment, 1);
  }

  #unassign(assignment: GuaranteeAssignment): void {
    this.#addToWorkers(assignment, -1);
    assignment.workers = [];
    this.#racksByAccount.delete(assignment.clientAccount);
  }

  #addToWorkers(assignment: GuaranteeAssignment, factor: number): void {
    for (const worker of assignment.workers) {
      const amounts = proportionalShare(
        worker.capacity,
        assignment.shape.acceleratorsPerWorker,
      );
      addAmounts(worker.guaranteeCapacity, amounts, { factor });
      addToAccount(
        worker.guaranteeCapacityByAccount,
        assignment.clientAccount,
        { amounts, factor },
      );
    }
  }

  #groupByAccount(): void {
    this.#byAccount = new Map();
    for (const assignment of this.#assignments.values()) {
      const assignments = this.#byAccount.get(assignment.clientAccount) ?? [];
      assignments.push(assignment);
      this.#byAccount.set(assignment.clientAccount, assignments);
    }
    this.#racksByAccount.clear();
  }
}

function nextFreeKey(
  name: string,
  taken: ReadonlyMap<string, unknown>,
): string {
  let copy = 1;
  while (taken.has(`${name}#${copy}`)) {
    copy += 1;
  }
  return `${name}#${copy}`;
}
