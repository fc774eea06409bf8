/**
 * Records what actually ran on the workers, and checks the safety rules.
 *
 * @module
 */

import type { TaskHappening } from "../../../../../standins/worker/worker_types.ts";
import { endedWell } from "../gang.ts";

/** A start or end of a task, with its time by the simulation's clock. */
export type Happening = TaskHappening & { readonly atMs: number };

interface RunningTask {
  readonly jobId: string;
  readonly attempt: number;
  readonly taskIndex: number;
}

/** The starts and ends of tasks on all workers of one data centre. */
export class RunHistory {
  readonly happenings: Happening[] = [];
  readonly violations: string[] = [];
  readonly #running = new Map<string, RunningTask>();
  #removedAtMs: number | undefined;
  #highestTerm = 0;

  /** From now on a start by a lower term is a violation. */
  noteTerm(term: number): void {
    this.#highestTerm = Math.max(this.#highestTerm, term);
  }

  /** Records when the data centre was taken out; undefined once it is in. */
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

  /** The longest time for which a gang ran without all of its tasks. */
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

  /** How many times a task of the job was started. */
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
        this.violations.push(
          `${label} started beside attempt ${other.attempt}`,
        );
      }
    }
    if (term < this.#highestTerm) {
      this.violations.push(`${label} started by the earlier term ${term}`);
    }
    // A removal must take effect within 2 s.
    if (this.#removedAtMs !== undefined && atMs > this.#removedAtMs + 2_000) {
      this.violations.push(`${label} started after the removal`);
    }
  }
}

/** The longest time for which some tasks ran while others were missing. */
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
