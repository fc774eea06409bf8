/**
 * The free accelerators of racks and workers, kept in buckets so that the
 * tightest place is found without looking at every worker.
 *
 * @module
 */

import type { RackId, WorkerId } from "../../../base/identity.ts";
import type { WorkerDescription } from "./scheduler_event.ts";
import { type RackState, RANK_COUNT, WorkerState } from "./worker_state.ts";

/** All workers by rack, in buckets by free accelerators. */
export class RackIndex {
  readonly racks = new Map<RackId, RackState>();
  readonly workers = new Map<WorkerId, WorkerState>();
  readonly #racksByFree: Set<RackState>[] = [];
  readonly #workersByFree: Set<WorkerState>[] = [];
  readonly #isFrozen: boolean;
  #freeAccelerators = 0;

  constructor(options: { isFrozen: boolean } = { isFrozen: false }) {
    this.#isFrozen = options.isFrozen;
  }

  /** Free accelerators on all workers that take work. */
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
    this.#move(worker, 0);
    bucket(this.#workersByFree, 0).delete(worker);
    this.workers.delete(worker.workerId);
    worker.rack.workers.splice(worker.rack.workers.indexOf(worker), 1);
    if (worker.rack.workers.length === 0) {
      bucket(this.#racksByFree, worker.rack.freeAccelerators)
        .delete(worker.rack);
      this.racks.delete(worker.rack.rackId);
    }
  }

  /** Enters a worker's free accelerators anew. */
  refresh(worker: WorkerState): void {
    const free = worker.isPlaceable
      ? Math.max(0, worker.room().accelerators)
      : 0;
    this.#move(worker, free);
  }

  /** Racks with at least so many accelerators free, tightest first. */
  *racksFrom(accelerators: number): Iterable<RackState> {
    for (let at = accelerators; at < this.#racksByFree.length; at++) {
      yield* this.#racksByFree[at] ?? [];
    }
  }

  /** Racks with anything free, the emptiest first. */
  *racksDown(): Iterable<RackState> {
    for (let at = this.#racksByFree.length - 1; at >= 0; at--) {
      yield* this.#racksByFree[at] ?? [];
    }
  }

  /** Workers with at least so many accelerators free, tightest first. */
  *workersFrom(accelerators: number): Iterable<WorkerState> {
    for (let at = accelerators; at < this.#workersByFree.length; at++) {
      yield* this.#workersByFree[at] ?? [];
    }
  }

  /** The most free accelerators of any one rack. */
  largestFree(): number {
    for (let at = this.#racksByFree.length - 1; at >= 0; at--) {
      if ((this.#racksByFree[at]?.size ?? 0) > 0) {
        return at;
      }
    }
    return 0;
  }

  /** What differs between the index and a count made anew. */
  findBroken(): string[] {
    const broken: string[] = [];
    let total = 0;
    for (const rack of this.racks.values()) {
      let free = 0;
      for (const worker of rack.workers) {
        free += worker.isPlaceable
          ? Math.max(0, worker.room().accelerators)
          : 0;
        if (!this.#workersByFree[worker.indexedFree]?.has(worker)) {
          broken.push(`index: worker ${worker.workerId} is in no bucket`);
        }
      }
      total += free;
      if (free !== rack.freeAccelerators) {
        broken.push(
          `index: rack ${rack.rackId} says ${rack.freeAccelerators} free, ` +
            `counted ${free}`,
        );
      }
      if (!this.#racksByFree[rack.freeAccelerators]?.has(rack)) {
        broken.push(`index: rack ${rack.rackId} is in no bucket`);
      }
    }
    if (total !== this.#freeAccelerators) {
      broken.push(`index: ${this.#freeAccelerators} free, counted ${total}`);
    }
    return broken;
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

  #move(worker: WorkerState, free: number): void {
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

function bucket<T>(buckets: Set<T>[], at: number): Set<T> {
  while (buckets.length <= at) {
    buckets.push(new Set());
  }
  return buckets[at] as Set<T>;
}

function byWorkerId(left: WorkerState, right: WorkerState): number {
  return left.workerId < right.workerId ? -1 : 1;
}
