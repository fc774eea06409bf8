/**
 * Starts that got no answer and may still be carried out, by the present
 * incarnation of their worker or by the next one.
 *
 * @module
 */

import type { TaskRef } from "../batch_command.ts";

/** A start counts as lost after this; workers may be up to 12 s late. */
const ARRIVAL_LIMIT_MS = 13_000;

/** Maximum number of starts kept per worker; the oldest is dropped first. */
const STARTS_LIMIT = 200;

/** A start that may still be carried out. */
export interface UnansweredStart {
  readonly task: TaskRef;
  readonly run: number;
  /** By the steady clock, like all times here. */
  readonly expiresAtMs: number;
}

/** Unanswered starts by the ID of their worker. */
export class UnansweredStarts {
  readonly #starts = new Map<string, UnansweredStart[]>();

  add(
    workerId: string,
    start: Pick<UnansweredStart, "task" | "run">,
    nowMs: number,
  ): void {
    const kept = this.of(workerId, nowMs).slice(1 - STARTS_LIMIT);
    const { task, run } = start;
    kept.push({ task, run, expiresAtMs: nowMs + ARRIVAL_LIMIT_MS });
    this.#starts.set(workerId, kept);
  }

  /** The starts that a worker may still carry out. */
  of(workerId: string, nowMs: number): readonly UnansweredStart[] {
    const starts = this.#starts.get(workerId) ?? [];
    return starts.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
  }
}
