/**
 * The lives of workers that the state knows, and which of them can't both be:
 * those of one worker, and those at one address.
 *
 * @module
 */

import type { WorkerKey, WorkerRecord } from "./batch_command.ts";

/** Workers by life, in the order in which they last changed. */
export class WorkerLives {
  readonly #byKey = new Map<WorkerKey, WorkerRecord>();
  /** Derived: the lives that share an identity or an address. */
  readonly #byPlace = new Map<string, Set<WorkerKey>>();

  constructor(workers: Iterable<WorkerRecord> = []) {
    for (const worker of workers) {
      this.put(worker);
    }
  }

  get byKey(): ReadonlyMap<WorkerKey, WorkerRecord> {
    return this.#byKey;
  }

  /** Adds a life, or replaces what was known of it. */
  put(worker: WorkerRecord): void {
    this.delete(worker.key);
    this.#byKey.set(worker.key, worker);
    for (const place of placesOf(worker)) {
      const lives = this.#byPlace.get(place) ?? new Set();
      this.#byPlace.set(place, lives.add(worker.key));
    }
  }

  /** Whether the life was known. */
  delete(key: WorkerKey): boolean {
    const worker = this.#byKey.get(key);
    if (worker === undefined) {
      return false;
    }
    for (const place of placesOf(worker)) {
      const lives = this.#byPlace.get(place);
      lives?.delete(key);
      if (lives?.size === 0) {
        this.#byPlace.delete(place);
      }
    }
    return this.#byKey.delete(key);
  }

  /** Other lives of the same worker, or at the same address. */
  othersOf(worker: WorkerRecord): WorkerRecord[] {
    const keys = new Set(
      placesOf(worker).flatMap((place) => [...this.#byPlace.get(place) ?? []]),
    );
    keys.delete(worker.key);
    return [...keys].map((key) => this.#byKey.get(key)!);
  }
}

/** Where only one life can be. */
function placesOf({ id, address }: WorkerRecord): string[] {
  return [`id ${id}`, `address ${address}`];
}
