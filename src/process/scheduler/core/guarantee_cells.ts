/**
 * Assigns every guaranteed shape to concrete workers, and moves it to others
 * when a worker is lost.
 *
 * @module
 */

import type { ClientAccountId, DataCentreId } from "../../../base/identity.ts";
import type { Document } from "../../../version/document/document.ts";
import {
  addAmounts,
  type Amounts,
  isWithin,
  noAmounts,
  proportionalShare,
} from "./amounts.ts";
import {
  compareShapes,
  guaranteesOf,
  type PackingRack,
  packShape,
  type Shape,
} from "./cell_packing.ts";
import type { RackIndex } from "./rack_index.ts";
import { addToAccount, type WorkerState } from "./worker_state.ts";

/** One guaranteed shape and the workers that it lies on. */
export interface GuaranteeCell {
  /** Names it over changes of configuration. */
  readonly key: string;
  readonly clientAccount: ClientAccountId;
  readonly shape: Shape;
  /** Its workers; empty while the hardware lacks room. */
  workers: readonly WorkerState[];
}

/** The cells of one data centre. */
export class GuaranteeCells {
  readonly #index: RackIndex;
  #cells = new Map<string, GuaranteeCell>();
  #byAccount = new Map<ClientAccountId, GuaranteeCell[]>();
  #racksByAccount = new Map<ClientAccountId, WorkerState[][]>();
  #isDirty = false;

  constructor(options: { index: RackIndex }) {
    this.#index = options.index;
  }

  /** Every cell, placed or not. */
  all(): Iterable<GuaranteeCell> {
    return this.#cells.values();
  }

  /** Whether cells wait to be placed or placed anew. */
  get isDirty(): boolean {
    return this.#isDirty;
  }

  /** Takes the shapes of a new configuration; those unchanged stay. */
  configure(document: Document, dataCentre: DataCentreId): void {
    const wanted = new Map<string, GuaranteeCell>();
    for (
      const { clientAccount, guarantee } of guaranteesOf(document, dataCentre)
    ) {
      const { racks, workersPerRack, acceleratorsPerWorker } = guarantee;
      const shape = { racks, workersPerRack, acceleratorsPerWorker };
      const name = `${clientAccount}/${racks}x${workersPerRack}x` +
        `${acceleratorsPerWorker}`;
      const key = nextFreeKey(name, wanted);
      const known = this.#cells.get(key);
      wanted.set(key, known ?? { key, clientAccount, shape, workers: [] });
      this.#isDirty ||= known === undefined;
    }
    for (const [key, cell] of this.#cells) {
      if (!wanted.has(key)) {
        this.#lift(cell);
        this.#isDirty = true;
      }
    }
    this.#cells = wanted;
    this.#groupByAccount();
  }

  /** Lifts the cells off a worker that no longer serves them. */
  workerGone(worker: WorkerState): void {
    for (const clientAccount of [...worker.promisedByAccount.keys()]) {
      for (const cell of this.#byAccount.get(clientAccount) ?? []) {
        if (cell.workers.includes(worker)) {
          this.#lift(cell);
          this.#isDirty = true;
        }
      }
    }
  }

  /** Says that there may be room for cells that had none. */
  workerCame(): void {
    for (const cell of this.#cells.values()) {
      if (cell.workers.length === 0) {
        this.#isDirty = true;
        return;
      }
    }
  }

  /**
   * Places what has no place: first beside the rest, then with unused cells
   * moved, then all anew.
   *
   * @returns whether any cell changed its place
   */
  repair(): boolean {
    if (!this.#isDirty) {
      return false;
    }
    this.#isDirty = false;
    const unplacedBefore = this.#unplaced();
    this.#placeAll(unplacedBefore);
    if (this.#unplaced().length > 0) {
      this.#repack((cell) => this.#isInUse(cell));
    }
    if (this.#unplaced().length > 0) {
      this.#repack(() => false);
    }
    this.#racksByAccount.clear();
    return true;
  }

  /** The workers of a client account's cells, by rack. */
  racksOf(clientAccount: ClientAccountId): readonly WorkerState[][] {
    const known = this.#racksByAccount.get(clientAccount);
    if (known !== undefined) {
      return known;
    }
    const byRack = new Map<unknown, Set<WorkerState>>();
    for (const cell of this.#byAccount.get(clientAccount) ?? []) {
      for (const worker of cell.workers) {
        const workers = byRack.get(worker.rack) ?? new Set();
        byRack.set(worker.rack, workers.add(worker));
      }
    }
    const racks = [...byRack.values()].map((workers) => [...workers]);
    this.#racksByAccount.set(clientAccount, racks);
    return racks;
  }

  /** What of its guarantee a client account doesn't use, over all workers. */
  unusedTotal(clientAccount: ClientAccountId): Amounts {
    const total = noAmounts();
    for (const workers of this.racksOf(clientAccount)) {
      for (const worker of workers) {
        addAmounts(total, worker.unusedPromise(clientAccount));
      }
    }
    return total;
  }

  /** The cells of one client account. */
  cellsOf(clientAccount: ClientAccountId): readonly GuaranteeCell[] {
    return this.#byAccount.get(clientAccount) ?? [];
  }

  /** Moves a placed cell to other workers, which must have room for it. */
  move(cell: GuaranteeCell, workers: readonly WorkerState[]): void {
    this.#lift(cell);
    this.#put(cell, workers);
    this.#racksByAccount.delete(cell.clientAccount);
  }

  /** Whether work within the guarantee needs this cell where it lies. */
  isInUse(cell: GuaranteeCell): boolean {
    return this.#isInUse(cell);
  }

  #unplaced(): GuaranteeCell[] {
    return [...this.#cells.values()]
      .filter((cell) => cell.workers.length === 0);
  }

  #placeAll(cells: readonly GuaranteeCell[]): void {
    if (cells.length === 0) {
      return;
    }
    const racks = this.#packingRacks();
    const ordered = [...cells]
      .sort((left, right) => compareShapes(left.shape, right.shape));
    for (const cell of ordered) {
      const workers = packShape(racks, cell.shape);
      if (workers !== undefined) {
        this.#put(cell, workers);
      }
    }
  }

  /** Places all but the pinned cells anew; keeps the better of the two. */
  #repack(isPinned: (cell: GuaranteeCell) => boolean): void {
    const before = new Map<GuaranteeCell, readonly WorkerState[]>();
    const loose = [...this.#cells.values()].filter((cell) => !isPinned(cell));
    const unplacedBefore = this.#unplaced().length;
    for (const cell of loose) {
      before.set(cell, cell.workers);
      this.#lift(cell);
    }
    this.#placeAll(loose);
    if (this.#unplaced().length < unplacedBefore) {
      return;
    }
    for (const cell of loose) {
      this.#lift(cell);
    }
    for (const [cell, workers] of before) {
      if (workers.length > 0) {
        this.#put(cell, workers);
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
            worker.promised.accelerators,
        }))
    );
  }

  #isInUse(cell: GuaranteeCell): boolean {
    return cell.workers.some((worker) => {
      const share = proportionalShare(
        worker.capacity,
        cell.shape.acceleratorsPerWorker,
      );
      return !isWithin(share, worker.unusedPromise(cell.clientAccount));
    });
  }

  #put(cell: GuaranteeCell, workers: readonly WorkerState[]): void {
    cell.workers = workers;
    this.#promise(cell, 1);
  }

  #lift(cell: GuaranteeCell): void {
    this.#promise(cell, -1);
    cell.workers = [];
    this.#racksByAccount.delete(cell.clientAccount);
  }

  #promise(cell: GuaranteeCell, factor: number): void {
    for (const worker of cell.workers) {
      const amounts = proportionalShare(
        worker.capacity,
        cell.shape.acceleratorsPerWorker,
      );
      addAmounts(worker.promised, amounts, { factor });
      addToAccount(worker.promisedByAccount, cell.clientAccount, {
        amounts,
        factor,
      });
    }
  }

  #groupByAccount(): void {
    this.#byAccount = new Map();
    for (const cell of this.#cells.values()) {
      const cells = this.#byAccount.get(cell.clientAccount) ?? [];
      cells.push(cell);
      this.#byAccount.set(cell.clientAccount, cells);
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
