/**
 * Starts that got no answer and may still be carried out, by the present
 * incarnation of their worker or by the next one.
 *
 * @module
 */

import type { TaskRef } from "../batch_command.ts";

/**
 * The longest time from the end of a call without an answer until a worker carries
 * it out: workers are up to 12 s late.
 */
export const LATE_START_LIMIT_MS = 13_000;

/** A start that may still be carried out. */
export interface UnansweredStart {
  readonly task: TaskRef;
  readonly run: number;
  /** By the steady clock, like all times here. */
  readonly expiresAtMs: number;
}

/** Unanswered starts by the ID of their worker. */
export class UnansweredStarts {
  /** By worker and by run, the one that expires first in front. */
  readonly #starts = new Map<string, Map<string, UnansweredStart>>();

  /** Records a start that got no answer; returns when it expires. */
  add(
    workerId: string,
    { task, run, runKey }: { task: TaskRef; run: number; runKey: string },
    nowMs: number,
  ): number {
    const starts = this.#starts.get(workerId) ?? new Map();
    const expiresAtMs = nowMs + LATE_START_LIMIT_MS;
    starts.delete(runKey);
    starts.set(runKey, { task, run, expiresAtMs });
    this.#starts.set(workerId, starts);
    this.#dropExpired(starts, nowMs);
    return expiresAtMs;
  }

  /** The starts that a worker may still carry out. */
  of(workerId: string, nowMs: number): readonly UnansweredStart[] {
    const starts = this.#starts.get(workerId);
    if (starts === undefined) {
      return [];
    }
    this.#dropExpired(starts, nowMs);
    if (starts.size === 0) {
      this.#starts.delete(workerId);
    }
    return [...starts.values()];
  }

  #dropExpired(starts: Map<string, UnansweredStart>, nowMs: number): void {
    for (const [key, { expiresAtMs }] of starts) {
      if (expiresAtMs > nowMs) {
        return;
      }
      starts.delete(key);
    }
  }
}
