/**
 * Starts that got no answer and may be carried out yet, in the present life
 * of their worker or in the next one.
 *
 * @module
 */

import type { TaskRef } from "../batch_command.ts";

/** An order counts as lost after so long; workers are up to 12 s late. */
const LATE_LIMIT_MS = 13_000;

/** The most orders kept for one worker; the oldest go first. */
const ORDERS_LIMIT = 200;

/** A start that may be carried out yet. */
export interface LateOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly expiresAtMs: number;
}

/** Starts without an answer, by worker. */
export class LateOrders {
  readonly #orders = new Map<string, LateOrder[]>();

  add(
    workerId: string,
    order: Pick<LateOrder, "task" | "run">,
    nowMs: number,
  ): void {
    const kept = this.of(workerId, nowMs).slice(1 - ORDERS_LIMIT);
    const { task, run } = order;
    kept.push({ task, run, expiresAtMs: nowMs + LATE_LIMIT_MS });
    this.#orders.set(workerId, kept);
  }

  /** The orders that a worker may carry out yet. */
  of(workerId: string, nowMs: number): readonly LateOrder[] {
    const orders = this.#orders.get(workerId) ?? [];
    return orders.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
  }
}
