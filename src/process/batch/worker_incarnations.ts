/**
 * The worker incarnations in the replicated state, indexed so that conflicting
 * ones are found: those of one worker, and those at one address.
 *
 * @module
 */

import type { WorkerKey, WorkerRecord } from "./batch_command.ts";
import {
  isSpeedRecord,
  type WorkerSpeedRecord,
} from "./decisions/worker_speed_class.ts";

/** Speeds as stored in a snapshot. */
export type StoredSpeeds = readonly (readonly [WorkerKey, WorkerSpeedRecord])[];

/** Worker incarnations by key, in the order of their last change. */
export class WorkerIncarnations {
  readonly #byKey = new Map<WorkerKey, WorkerRecord>();
  /** Derived: the incarnations that share a worker ID or an address. */
  readonly #byExclusiveKey = new Map<string, Set<WorkerKey>>();
  /** Incarnations that aren't listed have an unknown speed. */
  readonly #speeds = new Map<WorkerKey, WorkerSpeedRecord>();

  constructor(
    workers: Iterable<WorkerRecord> = [],
    speeds: StoredSpeeds = [],
  ) {
    for (const worker of workers) {
      this.put(worker);
    }
    speeds.forEach(([key, record]) => this.putSpeed(key, record));
  }

  get byKey(): ReadonlyMap<WorkerKey, WorkerRecord> {
    return this.#byKey;
  }

  get speeds(): ReadonlyMap<WorkerKey, WorkerSpeedRecord> {
    return this.#speeds;
  }

  /** Stores a speed; false for an incarnation or a class that isn't known. */
  putSpeed(key: WorkerKey, record: WorkerSpeedRecord): boolean {
    if (!this.#byKey.has(key) || !isSpeedRecord(record)) {
      return false;
    }
    const { speedClass, speed } = record;
    this.#speeds.set(key, { speedClass, speed });
    return true;
  }

  /** Adds an incarnation, or replaces its record; it keeps its speed. */
  put(worker: WorkerRecord): void {
    this.#remove(worker.key);
    this.#byKey.set(worker.key, worker);
    for (const exclusiveKey of exclusiveKeysOf(worker)) {
      const keys = this.#byExclusiveKey.get(exclusiveKey) ?? new Set();
      this.#byExclusiveKey.set(exclusiveKey, keys.add(worker.key));
    }
  }

  /** Removes an incarnation and its speed; false if it wasn't known. */
  delete(key: WorkerKey): boolean {
    this.#speeds.delete(key);
    return this.#remove(key);
  }

  #remove(key: WorkerKey): boolean {
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
