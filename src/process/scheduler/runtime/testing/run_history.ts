/**
 * Records what actually ran on the workers, and checks the safety rules.
 *
 * @module
 */

import type { TaskEvent } from "../../../../../standins/worker/worker_types.ts";
import { endedWell } from "../gang.ts";

/** A start or end of a task, with its time by the simulation's clock. */
export type TimedTaskEvent = TaskEvent & { readonly atMs: number };

interface RunningTask {
  readonly jobId: string;
  readonly attempt: number;
  readonly taskIndex: number;
}

/** The starts and ends of tasks on the workers of one or more data centres. */
export class RunHistory {
  readonly events: TimedTaskEvent[] = [];
  readonly violations: string[] = [];
  readonly #running = new Map<string, RunningTask>();
  #removedAtMs: number | undefined;
  #highestTerm = 0;

  /** From now on a start by a lower term is a violation. */
  recordTerm(term: number): void {
    this.#highestTerm = Math.max(this.#highestTerm, term);
  }

  /** Records when the data centre was taken out; undefined once it is in. */
  recordRemoval(atMs: number | undefined): void {
    this.#removedAtMs = atMs;
  }

  record(event: TimedTaskEvent): void {
    this.events.push(event);
    const { jobId, attempt, taskIndex, workerId } = event;
    const id = `${workerId}/${jobId}/${attempt}/${taskIndex}`;
    if (event.kind === "ended") {
      this.#running.delete(id);
      return;
    }
    this.#checkStart(event);
    this.#running.set(id, { jobId, attempt, taskIndex });
  }

  /** The longest time for which a gang ran without all of its tasks. */
  longestPartialMs(tasksOf: (jobId: string) => number): number {
    const byAttempt = new Map<string, TimedTaskEvent[]>();
    for (const event of this.events) {
      const id = `${event.jobId}/${event.attempt}`;
      byAttempt.set(id, [...byAttempt.get(id) ?? [], event]);
    }
    return Math.max(
      0,
      ...[...byAttempt.values()].map((events) =>
        partialMs(events, tasksOf(events[0]?.jobId ?? ""))
      ),
    );
  }

  /** How many times a task of the job was started. */
  starts(jobId: string): number {
    return this.events.filter((event) =>
      event.jobId === jobId && event.kind === "started"
    ).length;
  }

  isRunning(jobId: string): boolean {
    return [...this.#running.values()].some((task) => task.jobId === jobId);
  }

  #checkStart(started: TimedTaskEvent & { readonly kind: "started" }): void {
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
      this.violations.push(
        `${label} started over 2 s after the data centre was taken out`,
      );
    }
  }
}

/** The longest time for which some tasks ran while others were missing. */
function partialMs(events: readonly TimedTaskEvent[], tasks: number): number {
  const running = new Set<number>();
  const done = new Set<number>();
  let sinceMs: number | undefined;
  let longestMs = 0;
  for (const event of events) {
    if (sinceMs !== undefined) {
      longestMs = Math.max(longestMs, event.atMs - sinceMs);
    }
    if (event.kind === "started") {
      running.add(event.taskIndex);
    } else {
      running.delete(event.taskIndex);
      if (endedWell(event.outcome)) {
        done.add(event.taskIndex);
      }
    }
    const isPartial = running.size > 0 && running.size + done.size < tasks;
    sinceMs = isPartial ? sinceMs ?? event.atMs : undefined;
  }
  return longestMs;
}
