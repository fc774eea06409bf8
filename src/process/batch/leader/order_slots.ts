/**
 * Limits the orders of one kind that are on their way to workers. An order that
 * waits for longer than its timeout behind others would count as unanswered.
 *
 * @module
 */

import type { WorkerKey } from "../batch_command.ts";
import type { OpenRunState } from "./run_table.ts";

/** Maximum number of orders on their way to one worker, and to all. */
const ORDERS_PER_WORKER_LIMIT = 24;
const ORDERS_LIMIT = 512;

/** The limits, with their defaults. */
export interface OrderSlotsOptions {
  readonly perWorker?: number;
  readonly total?: number;
}

/** Slots for orders. Runs that get none wait; workers take turns among them. */
export class OrderSlots {
  readonly #perWorker: number;
  readonly #total: number;
  readonly #taken = new Map<WorkerKey, number>();
  readonly #waiting = new Map<WorkerKey, Set<OpenRunState>>();
  #takenInAll = 0;

  constructor(options: OrderSlotsOptions = {}) {
    this.#perWorker = options.perWorker ?? ORDERS_PER_WORKER_LIMIT;
    this.#total = options.total ?? ORDERS_LIMIT;
  }

  /** Takes a slot for an order about the run, or lets the run wait. */
  take(key: WorkerKey, run: OpenRunState): boolean {
    if (!this.#isFree(key)) {
      const runs = this.#waiting.get(key) ?? new Set();
      this.#waiting.set(key, runs.add(run));
      return false;
    }
    this.#waiting.get(key)?.delete(run);
    this.#taken.set(key, (this.#taken.get(key) ?? 0) + 1);
    this.#takenInAll += 1;
    return true;
  }

  /** Frees a slot. */
  release(key: WorkerKey): void {
    const left = (this.#taken.get(key) ?? 0) - 1;
    if (left > 0) {
      this.#taken.set(key, left);
    } else {
      this.#taken.delete(key);
    }
    this.#takenInAll -= 1;
  }

  /** Removes and returns the next run that waits and would get a slot now. */
  nextWaiting(): OpenRunState | undefined {
    for (const [key, runs] of this.#waiting) {
      const [run] = runs;
      if (run === undefined) {
        this.#waiting.delete(key);
      } else if (this.#isFree(key)) {
        runs.delete(run);
        // The other workers come first next time.
        this.#waiting.delete(key);
        this.#waiting.set(key, runs);
        return run;
      }
    }
    return undefined;
  }

  #isFree(key: WorkerKey): boolean {
    return this.#takenInAll < this.#total &&
      (this.#taken.get(key) ?? 0) < this.#perWorker;
  }
}
