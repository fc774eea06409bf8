/**
 * Which workers to avoid, from how the runs on them ended.
 *
 * For workers that fail or stall all that they start while they say that they
 * are well: without it, every task in turn would lose an attempt there.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import { RunEnd, type TaskRef, type WorkerKey } from "../batch_command.ts";
import { taskKey } from "./run_table.ts";

/** Failed runs in a row, of different jobs, that make a worker suspect. */
const FAILED_JOBS_LIMIT = 2;

/** How long a suspect worker gets nothing; it doubles with each time. */
const AVOID_MS = 4_000;
const AVOID_LIMIT_MS = 16_000;

/** How long a worker that had no room gets nothing: a stop takes as long. */
const FULL_MS = 250;

interface Evidence {
  failedJobs: Set<string>;
  avoidedUntilMs: number;
  times: number;
}

/** Evidence about workers, kept by a leader. */
export class WorkerHealth {
  readonly #clock: Clock;
  readonly #evidence = new Map<WorkerKey, Evidence>();
  readonly #fullUntilMs = new Map<WorkerKey, number>();
  readonly #failedOn = new Map<string, Set<WorkerKey>>();

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  isSuspect(key: WorkerKey): boolean {
    const evidence = this.#evidence.get(key);
    return evidence !== undefined &&
      this.#clock.nowMs() < evidence.avoidedUntilMs;
  }

  /** Workers on which runs of the task failed. */
  failedOn(task: TaskRef): ReadonlySet<WorkerKey> | undefined {
    return this.#failedOn.get(taskKey(task));
  }

  /** Takes note of how a run ended; true when the worker became suspect. */
  note(key: WorkerKey, task: TaskRef, how: RunEnd): boolean {
    if (how === RunEnd.done) {
      this.#evidence.delete(key);
      return false;
    }
    if (how !== RunEnd.failed) {
      return false;
    }
    const failedOn = this.#failedOn.get(taskKey(task)) ?? new Set();
    this.#failedOn.set(taskKey(task), failedOn.add(key));
    return this.#noteFailure(key, task);
  }

  /** Whether the worker has just refused a start for want of room. */
  isFull(key: WorkerKey): boolean {
    return this.#clock.nowMs() < (this.#fullUntilMs.get(key) ?? 0);
  }

  /** The worker has less room than is known of here. */
  noteFull(key: WorkerKey): void {
    this.#fullUntilMs.set(key, this.#clock.nowMs() + FULL_MS);
  }

  /** The worker itself says that it is unwell. */
  noteUnwell(key: WorkerKey): void {
    this.#avoid(key, this.#evidenceOf(key));
  }

  /** Drops what was kept of a job's tasks. */
  forgetJob(jobId: string): void {
    for (const name of this.#failedOn.keys()) {
      if (name.startsWith(`${jobId}.`)) {
        this.#failedOn.delete(name);
      }
    }
  }

  #noteFailure(key: WorkerKey, task: TaskRef): boolean {
    const evidence = this.#evidenceOf(key);
    evidence.failedJobs.add(task.jobId);
    if (evidence.failedJobs.size < FAILED_JOBS_LIMIT) {
      return false;
    }
    this.#avoid(key, evidence);
    return true;
  }

  #avoid(key: WorkerKey, evidence: Evidence): void {
    const avoidMs = Math.min(AVOID_LIMIT_MS, AVOID_MS * 2 ** evidence.times);
    evidence.avoidedUntilMs = this.#clock.nowMs() + avoidMs;
    evidence.times += 1;
    this.#evidence.set(key, evidence);
  }

  #evidenceOf(key: WorkerKey): Evidence {
    const known = this.#evidence.get(key);
    const evidence = known ??
      { failedJobs: new Set(), avoidedUntilMs: 0, times: 0 };
    this.#evidence.set(key, evidence);
    return evidence;
  }
}
