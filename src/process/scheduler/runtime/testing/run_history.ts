/**
 * What truly happened on the workers, and the rules that it must keep.
 *
 * @module
 */

import type { TaskHappening } from "../../../../../standins/worker/worker_types.ts";
import { endedWell } from "../gang.ts";

/** One happening, at a moment of the true clock. */
export type Happening = TaskHappening & { readonly atMs: number };

interface RunningTask {
  readonly jobId: string;
  readonly attempt: number;
  readonly taskIndex: number;
}

/** The true history of all workers of one data centre. */
export class RunHistory {
  readonly happenings: Happening[] = [];
  readonly violations: string[] = [];
  readonly #running = new Map<string, RunningTask>();
  #removedAtMs: number | undefined;
  #highestTerm = 0;

  /** From now on a lower term must start nothing. */
  noteTerm(term: number): void {
    this.#highestTerm = Math.max(this.#highestTerm, term);
  }

  /** The data centre was taken out, or put back in. */
  noteRemoval(atMs: number | undefined): void {
    this.#removedAtMs = atMs;
  }

  note(happening: Happening): void {
    this.happenings.push(happening);
    const { jobId, attempt, taskIndex, workerId } = happening;
    const id = `${workerId}/${jobId}/${attempt}/${taskIndex}`;
    if (happening.kind === "ended") {
      this.#running.delete(id);
      return;
    }
    this.#checkStart(happening);
    this.#running.set(id, { jobId, attempt, taskIndex });
  }

  /** How long any gang ran without all of its tasks, at most. */
  longestPartialMs(tasksOf: (jobId: string) => number): number {
    const byAttempt = new Map<string, Happening[]>();
    for (const happening of this.happenings) {
      const id = `${happening.jobId}/${happening.attempt}`;
      byAttempt.set(id, [...byAttempt.get(id) ?? [], happening]);
    }
    return Math.max(
      0,
      ...[...byAttempt.values()].map((happenings) =>
        partialMs(happenings, tasksOf(happenings[0]?.jobId ?? ""))
      ),
    );
  }

  /** How often a task of the job was started. */
  starts(jobId: string): number {
    return this.happenings.filter((happening) =>
      happening.jobId === jobId && happening.kind === "started"
    ).length;
  }

  isRunning(jobId: string): boolean {
    return [...this.#running.values()].some((task) => task.jobId === jobId);
  }

  #checkStart(started: Happening & { readonly kind: "started" }): void {
    const { jobId, attempt, taskIndex, term, atMs } = started;
    const label = `${jobId}/${attempt}/${taskIndex} at ${atMs}`;
    for (const other of this.#running.values()) {
      if (other.jobId !== jobId) {
        continue;
      }
      if (other.attempt !== attempt || other.taskIndex === taskIndex) {
        this.violations.push(`${label} beside attempt ${other.attempt}`);
      }
    }
    if (term < this.#highestTerm) {
      this.violations.push(`${label} by term ${term}`);
    }
    if (this.#removedAtMs !== undefined && atMs > this.#removedAtMs + 2_000) {
      this.violations.push(`${label} after the removal`);
    }
  }
}

/** The longest time in which some tasks ran and others were missing. */
function partialMs(happenings: readonly Happening[], tasks: number): number {
  const running = new Set<number>();
  const done = new Set<number>();
  let sinceMs: number | undefined;
  let longestMs = 0;
  for (const happening of happenings) {
    if (sinceMs !== undefined) {
      longestMs = Math.max(longestMs, happening.atMs - sinceMs);
    }
    if (happening.kind === "started") {
      running.add(happening.taskIndex);
    } else {
      running.delete(happening.taskIndex);
      if (endedWell(happening.outcome)) {
        done.add(happening.taskIndex);
      }
    }
    const isPartial = running.size > 0 && running.size + done.size < tasks;
    sinceMs = isPartial ? sinceMs ?? happening.atMs : undefined;
  }
  return longestMs;
}
