/**
 * The worker incarnations in the replicated state, indexed so that conflicting
 * ones are found: those of one worker, and those at one address.
 *
 * @module
 */

import type { WorkerKey, WorkerRecord } from "./batch_command.ts";

/** Worker incarnations by key, in the order of their last change. */
export class WorkerIncarnations {
  readonly #byKey = new Map<WorkerKey, WorkerRecord>();
  /** Derived: the incarnations that share a worker ID or an address. */
  readonly #byExclusiveKey = new Map<string, Set<WorkerKey>>();

  constructor(workers: Iterable<WorkerRecord> = []) {
    for (const worker of workers) {
      this.put(worker);
    }
  }

  get byKey(): ReadonlyMap<WorkerKey, WorkerRecord> {
    return this.#byKey;
  }

  /** Adds an incarnation, or replaces its record. */
  put(worker: WorkerRecord): void {
    this.delete(worker.key);
    this.#byKey.set(worker.key, worker);
    for (const exclusiveKey of exclusiveKeysOf(worker)) {
      const keys = this.#byExclusiveKey.get(exclusiveKey) ?? new Set();
      this.#byExclusiveKey.set(exclusiveKey, keys.add(worker.key));
    }
  }

  /** Removes an incarnation; false if it wasn't known. */
  delete(key: WorkerKey): boolean {
    const worker = this.#byKey.get(key);
    if (worker === undefined) {
      return false;
    }
    for (const exclusiveKey of exclusiveKeysOf(worker)) {
      const keys = this.#byExclusiveKey.get(exclusiveKey);
      keys?.delete(key);
      if (keys?.size === 0) {
        this.#byExclusiveKey.delete(exclusiveKey);
      }
    }
    return this.#byKey.delete(key);
  }

  /** Other incarnations of the same worker, or at the same address. */
  conflictingWith(worker: WorkerRecord): readonly WorkerRecord[] {
    const sets = exclusiveKeysOf(worker).map((key) =>
      this.#byExclusiveKey.get(key)
    );
    // Asked for each open run, several times a second; nearly all have none.
    if (sets.every((keys) => keys === undefined || isOnly(worker.key, keys))) {
      return NONE;
    }
    const keys = new Set(sets.flatMap((set) => [...set ?? []]));
    keys.delete(worker.key);
    return [...keys].map((key) => this.#byKey.get(key)!);
  }
}

const NONE: readonly WorkerRecord[] = [];

function isOnly(key: WorkerKey, keys: ReadonlySet<WorkerKey>): boolean {
  return keys.size === 1 && keys.has(key);
}

/** Keys of which each can belong to only one present incarnation. */
function exclusiveKeysOf({ id, address }: WorkerRecord): string[] {
  return [`id ${id}`, `address ${address}`];
}
