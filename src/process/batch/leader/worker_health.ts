/**
 * Decides which workers to avoid, from how the runs on them ended.
 *
 * A worker may fail or stall every run that it starts and still report that it
 * is well. Without this, every task in turn would lose an attempt there.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import { RunEnd, type TaskRef, type WorkerKey } from "../batch_command.ts";
import { taskKey } from "./run_table.ts";

/** A worker is suspect when runs of so many jobs failed there in a row. */
const FAILED_JOBS_LIMIT = 2;

/** How long a suspect worker is avoided; doubled each time, up to the limit. */
const AVOID_MIN_MS = 4_000;
const AVOID_MAX_MS = 16_000;

/** How long a full worker is avoided: about as long as a stop takes. */
const FULL_AVOIDANCE_MS = 250;

/**
 * Maximum number of starts that a worker hasn't confirmed. Halved when it refuses
 * one for lack of capacity, and raised by each that it confirms.
 */
const START_WINDOW_MAX = 64;

interface WorkerFailures {
  failedJobs: Set<string>;
  avoidedUntilMs: number;
  avoidedTimes: number;
}

/** Failures and refusals of workers, as one leader has seen them. */
export class WorkerHealth {
  readonly #clock: Clock;
  readonly #failures = new Map<WorkerKey, WorkerFailures>();
  readonly #fullUntilMs = new Map<WorkerKey, number>();
  readonly #failedOn = new Map<string, Set<WorkerKey>>();
  /** Absent at the maximum. */
  readonly #startWindows = new Map<WorkerKey, number>();

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  isSuspect(key: WorkerKey): boolean {
    const failures = this.#failures.get(key);
    return failures !== undefined &&
      this.#clock.nowMs() < failures.avoidedUntilMs;
  }

  /** Workers on which runs of the task failed. */
  failedOn(task: TaskRef): ReadonlySet<WorkerKey> | undefined {
    return this.#failedOn.get(taskKey(task));
  }

  /** Records how a run ended; true if the failure makes the worker suspect. */
  recordEnd(key: WorkerKey, task: TaskRef, how: RunEnd): boolean {
    if (how === RunEnd.done) {
      this.#failures.delete(key);
      return false;
    }
    if (how !== RunEnd.failed) {
      return false;
    }
    const failedOn = this.#failedOn.get(taskKey(task)) ?? new Set();
    this.#failedOn.set(taskKey(task), failedOn.add(key));
    return this.#recordFailure(key, task);
  }

  /** Whether the worker has just refused a start for lack of capacity. */
  isFull(key: WorkerKey): boolean {
    return this.#clock.nowMs() < (this.#fullUntilMs.get(key) ?? 0);
  }

  /** Records that the worker has less capacity left than the state says. */
  recordFull(key: WorkerKey): void {
    if (!this.isFull(key)) {
      const window = Math.floor(this.startWindowOf(key) / 2);
      this.#startWindows.set(key, Math.max(1, window));
    }
    this.#fullUntilMs.set(key, this.#clock.nowMs() + FULL_AVOIDANCE_MS);
  }

  /** How many starts the worker is sent before it confirms the first of them. */
  startWindowOf(key: WorkerKey): number {
    return this.#startWindows.get(key) ?? START_WINDOW_MAX;
  }

  /** Records that the worker confirmed a start. */
  recordConfirmed(key: WorkerKey): void {
    const window = this.startWindowOf(key) + 1;
    if (window < START_WINDOW_MAX) {
      this.#startWindows.set(key, window);
    } else {
      this.#startWindows.delete(key);
    }
  }

  /** Records that the worker reported itself unwell. */
  recordUnwell(key: WorkerKey): void {
    this.#avoid(key, this.#failuresOf(key));
  }

  /** Drops the record of workers on which a job's tasks failed. */
  forgetJob(jobId: string): void {
    for (const key of this.#failedOn.keys()) {
      if (key.startsWith(`${jobId}.`)) {
        this.#failedOn.delete(key);
      }
    }
  }

  #recordFailure(key: WorkerKey, task: TaskRef): boolean {
    const failures = this.#failuresOf(key);
    failures.failedJobs.add(task.jobId);
    if (failures.failedJobs.size < FAILED_JOBS_LIMIT) {
      return false;
    }
    this.#avoid(key, failures);
    return true;
  }

  #avoid(key: WorkerKey, failures: WorkerFailures): void {
    const avoidMs = Math.min(
      AVOID_MAX_MS,
      AVOID_MIN_MS * 2 ** failures.avoidedTimes,
    );
    failures.avoidedUntilMs = this.#clock.nowMs() + avoidMs;
    failures.avoidedTimes += 1;
    this.#failures.set(key, failures);
  }

  #failuresOf(key: WorkerKey): WorkerFailures {
    const known = this.#failures.get(key);
    const failures = known ??
      { failedJobs: new Set(), avoidedUntilMs: 0, avoidedTimes: 0 };
    this.#failures.set(key, failures);
    return failures;
  }
}
