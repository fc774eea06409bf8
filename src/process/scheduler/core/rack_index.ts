/**
 * An index of racks and workers by free accelerators, so that the tightest
 * block is found without a scan of all workers.
 *
 * @module
 */

import type { RackId, WorkerId } from "../../../base/identity.ts";
import type { WorkerDescription } from "./scheduler_event.ts";
import { type RackState, RANK_COUNT, WorkerState } from "./worker_state.ts";

/** All racks and workers, in buckets by free accelerators. */
export class RackIndex {
  readonly racks = new Map<RackId, RackState>();
  readonly workers = new Map<WorkerId, WorkerState>();
  readonly #racksByFree: Set<RackState>[] = [];
  readonly #workersByFree: Set<WorkerState>[] = [];
  /** Set by the mutation `keepsStaleIndex`: some updates are skipped. */
  readonly #isFrozen: boolean;
  #freeAccelerators = 0;

  constructor(options: { isFrozen: boolean } = { isFrozen: false }) {
    this.#isFrozen = options.isFrozen;
  }

  /** Free accelerators on all workers that accept work. */
  get freeAccelerators(): number {
    return this.#freeAccelerators;
  }

  add(description: WorkerDescription): WorkerState {
    const rack = this.#rackOf(description.rack);
    const worker = new WorkerState({ description, rack });
    rack.workers.push(worker);
    rack.workers.sort(byWorkerId);
    this.workers.set(worker.workerId, worker);
    bucket(this.#workersByFree, 0).add(worker);
    this.refresh(worker);
    return worker;
  }

  remove(worker: WorkerState): void {
    this.#updateFree(worker, 0);
    bucket(this.#workersByFree, 0).delete(worker);
    this.workers.delete(worker.workerId);
    worker.rack.workers.splice(worker.rack.workers.indexOf(worker), 1);
    if (worker.rack.workers.length === 0) {
      bucket(this.#racksByFree, worker.rack.freeAccelerators)
        .delete(worker.rack);
      this.racks.delete(worker.rack.rackId);
    }
  }

  /** Updates a worker's free accelerators. */
  refresh(worker: WorkerState): void {
    const free = worker.isPlaceable
      ? Math.max(0, worker.available().accelerators)
      : 0;
    this.#updateFree(worker, free);
  }

  /** Racks with at least this many free accelerators, tightest first. */
  *racksWithFree(accelerators: number): Iterable<RackState> {
    for (let index = accelerators; index < this.#racksByFree.length; index++) {
      yield* this.#racksByFree[index] ?? [];
    }
  }

  /** All racks, those with the most free accelerators first. */
  *racksByMostFree(): Iterable<RackState> {
    for (let index = this.#racksByFree.length - 1; index >= 0; index--) {
      yield* this.#racksByFree[index] ?? [];
    }
  }

  /** Workers with at least this many free accelerators, tightest first. */
  *workersWithFree(accelerators: number): Iterable<WorkerState> {
    for (
      let index = accelerators;
      index < this.#workersByFree.length;
      index++
    ) {
      yield* this.#workersByFree[index] ?? [];
    }
  }

  /** The largest number of free accelerators in one rack. */
  largestFree(): number {
    for (let index = this.#racksByFree.length - 1; index >= 0; index--) {
      if ((this.#racksByFree[index]?.size ?? 0) > 0) {
        return index;
      }
    }
    return 0;
  }

  /** Differences between the index and a full recount. */
  findViolations(): string[] {
    const violations: string[] = [];
    let total = 0;
    for (const rack of this.racks.values()) {
      let free = 0;
      for (const worker of rack.workers) {
        free += worker.isPlaceable
          ? Math.max(0, worker.available().accelerators)
          : 0;
        if (!this.#workersByFree[worker.indexedFree]?.has(worker)) {
          violations.push(`index: worker ${worker.workerId} is in no bucket`);
        }
      }
      total += free;
      if (free !== rack.freeAccelerators) {
        violations.push(
          `index: rack ${rack.rackId} has ${rack.freeAccelerators} free, ` +
            `counted ${free}`,
        );
      }
      if (!this.#racksByFree[rack.freeAccelerators]?.has(rack)) {
        violations.push(`index: rack ${rack.rackId} is in no bucket`);
      }
    }
    if (total !== this.#freeAccelerators) {
      violations.push(
        `index: ${this.#freeAccelerators} free, counted ${total}`,
      );
    }
    return violations;
  }

  #rackOf(rackId: RackId): RackState {
    const known = this.racks.get(rackId);
    if (known !== undefined) {
      return known;
    }
    const rack: RackState = {
      rackId,
      workers: [],
      freeAccelerators: 0,
      evictableByRank: new Int32Array(RANK_COUNT),
    };
    this.racks.set(rackId, rack);
    bucket(this.#racksByFree, 0).add(rack);
    return rack;
  }

  #updateFree(worker: WorkerState, free: number): void {
    const isKept = this.#isFrozen && worker.allocations.size > 1;
    if (free === worker.indexedFree || isKept) {
      return;
    }
    const change = free - worker.indexedFree;
    const rack = worker.rack;
    bucket(this.#workersByFree, worker.indexedFree).delete(worker);
    bucket(this.#workersByFree, free).add(worker);
    worker.indexedFree = free;
    bucket(this.#racksByFree, rack.freeAccelerators).delete(rack);
    rack.freeAccelerators += change;
    bucket(this.#racksByFree, rack.freeAccelerators).add(rack);
    this.#freeAccelerators += change;
  }
}

function bucket<T>(buckets: Set<T>[], index: number): Set<T> {
  while (buckets.length <= index) {
    buckets.push(new Set());
  }
  return buckets[index] as Set<T>;
}

function byWorkerId(left: WorkerState, right: WorkerState): number {
  return left.workerId < right.workerId ? -1 : 1;
}
