/**
 * A test oracle: checks every decision against what the fake workers run.
 *
 * @module
 */

import type { JobSpecification } from "../job.ts";
import type { SchedulerCore } from "../scheduler_core.ts";
import type { StartGang, StopGang } from "../scheduler_decision.ts";
import type { TaskReference, WorkerDescription } from "../scheduler_event.ts";

/** The actual state of one worker. */
export interface FakeWorker {
  readonly description: WorkerDescription;
  state: "up" | "leaving" | "lost";
  /** Tasks that it runs, by attempt key. */
  readonly running: Map<string, TaskReference[]>;
  /** Tasks that keep running after the worker was lost. */
  staleTasks: TaskReference[];
}

/** A worker that hasn't joined yet. */
export function newFakeWorker(description: WorkerDescription): FakeWorker {
  return { description, state: "lost", running: new Map(), staleTasks: [] };
}

/** One attempt that the core decided to start. */
export interface FakeGang {
  readonly start: StartGang;
  isRunning: boolean;
}

/** The state that the oracle checks decisions against. */
export interface ObservedRuntime {
  readonly core: SchedulerCore;
  readonly nowMs: number;
  readonly isOut: boolean;
  readonly permittedUntilMs: number;
  readonly jobs: ReadonlyMap<string, JobSpecification>;
  readonly ended: Map<string, string>;
  readonly workers: ReadonlyMap<string, FakeWorker>;
  readonly gangs: ReadonlyMap<string, FakeGang>;
  readonly pending: readonly (StartGang | StopGang)[];
}

/** Checks decisions, and collects the violations. */
export class Oracle {
  /** The violations found. */
  readonly violations: string[] = [];
  readonly #runtime: ObservedRuntime;
  readonly #attempts = new Map<string, number>();
  #guaranteed = new Set<string>();
  #guaranteeLayout = "";

  constructor(options: { runtime: ObservedRuntime }) {
    this.#runtime = options.runtime;
  }

  checkStart(start: StartGang, isRecovering: boolean): void {
    const name = `oracle: start of ${start.jobId}`;
    const job = this.#runtime.jobs.get(start.jobId);
    if (this.#runtime.isOut) {
      this.violations.push(`${name} while the data centre is out`);
    }
    if (this.#runtime.nowMs > this.#runtime.permittedUntilMs) {
      this.violations.push(`${name} without permission`);
    }
    if (isRecovering) {
      this.violations.push(`${name} during recovery`);
    }
    if (this.#isActive(start.jobId) || this.#runtime.ended.has(start.jobId)) {
      this.violations.push(`${name} though it runs or has ended`);
    }
    if (start.attempt <= (this.#attempts.get(start.jobId) ?? 0)) {
      this.violations.push(`${name} with an attempt used before`);
    }
    this.#attempts.set(start.jobId, start.attempt);
    const indexes = new Set(start.placements.map((each) => each.taskIndex));
    if (job === undefined || indexes.size !== job.tasks) {
      this.violations.push(`${name} without every task`);
    }
    this.#checkPlacements(start, job);
  }

  #checkPlacements(start: StartGang, job: JobSpecification | undefined): void {
    const name = `oracle: start of ${start.jobId}`;
    const racks = new Set<string>();
    const workerIds = new Set<string>();
    for (const { workerId } of start.placements) {
      const worker = this.#runtime.workers.get(workerId);
      workerIds.add(workerId);
      racks.add(worker?.description.rack ?? "none");
      if (worker?.state !== "up") {
        this.violations.push(
          `${name} on ${workerId}, whose state is ${worker?.state}`,
        );
      }
    }
    const isScattered = (job?.adjacency === "rack" && racks.size > 1) ||
      (job?.adjacency === "worker" && workerIds.size > 1);
    if (isScattered) {
      this.violations.push(`${name} on workers that aren't adjacent`);
    }
  }

  checkStop(stop: StopGang): void {
    // Gangs of a guarantee that moves in the same event count as borrowing.
    const isGuaranteed = this.#guaranteed.has(keyOf(stop)) &&
      this.#guaranteeLayout === this.#readGuaranteeLayout();
    const isForOthers = stop.reason === "preempted" ||
      (stop.reason === "migrated" && !this.#hasOwnLargerGang(stop.jobId)) ||
      (stop.reason === "guaranteeReclaimed" &&
        !this.#hasOwnUrgentJob(stop.jobId));
    if (isGuaranteed && isForOthers) {
      this.violations.push(
        `oracle: ${keyOf(stop)} was evicted from its guarantee`,
      );
    }
  }

  /** Whether an urgent job of its own client account may need its capacity. */
  #hasOwnUrgentJob(jobId: string): boolean {
    const job = this.#runtime.jobs.get(jobId);
    return job?.jobClass !== "urgent" &&
      [...this.#runtime.jobs.values()].some((other) =>
        other.jobClass === "urgent" &&
        other.clientAccount === job?.clientAccount
      );
  }

  /** Whether a larger gang of its own client account may need its capacity. */
  #hasOwnLargerGang(jobId: string): boolean {
    const job = this.#runtime.jobs.get(jobId);
    return job !== undefined &&
      [...this.#runtime.jobs.values()].some((other) =>
        other.clientAccount === job.clientAccount &&
        acceleratorsOf(other) > acceleratorsOf(job)
      );
  }

  checkEnd(jobId: string, outcome: string): void {
    if (this.#runtime.ended.has(jobId)) {
      this.violations.push(`oracle: job ${jobId} ended twice`);
    }
    this.#runtime.ended.set(jobId, outcome);
    if (this.#isActive(jobId)) {
      this.violations.push(`oracle: job ${jobId} ended while it runs`);
    }
  }

  /** Whether any worker runs a task of the job, or a start is pending. */
  #isActive(jobId: string): boolean {
    const isStarting = this.#runtime.pending.some((item) =>
      item.kind === "startGang" && item.jobId === jobId
    );
    return isStarting ||
      [...this.#runtime.workers.values()].some((worker) =>
        [...worker.running.values()].flat().some((task) => task.jobId === jobId)
      );
  }

  checkJobs(): void {
    for (const jobId of this.#runtime.jobs.keys()) {
      const view = this.#runtime.core.jobView(jobId);
      if (view === undefined) {
        this.violations.push(`oracle: job ${jobId} was lost`);
      } else if (
        view.phase === "queued" &&
        (view.waitReason === undefined || view.waitText === undefined)
      ) {
        this.violations.push(`oracle: job ${jobId} waits without a reason`);
      }
    }
  }

  /** The accelerators assigned to guarantees on every worker. */
  #readGuaranteeLayout(): string {
    return this.#runtime.core.workers()
      .map((each) => `${each.workerId}:${each.guaranteeAccelerators}`)
      .sort().join();
  }

  recordGuaranteed(): void {
    this.#guaranteed = new Set();
    this.#guaranteeLayout = this.#readGuaranteeLayout();
    for (const view of this.#runtime.core.jobs()) {
      if (view.isGuaranteed) {
        this.#guaranteed.add(keyOf(view));
      }
    }
  }

  checkCapacity(worker: FakeWorker): void {
    let accelerators = 0;
    for (const [key, tasks] of worker.running) {
      const need = this.#runtime.gangs.get(key)?.start.resources.accelerators ??
        0;
      accelerators += need * tasks.length;
    }
    if (accelerators > worker.description.accelerators) {
      this.violations.push(
        `oracle: ${worker.description.workerId} exceeds its accelerators`,
      );
    }
  }
}

function acceleratorsOf(job: JobSpecification): number {
  return job.tasks * job.resources.accelerators;
}

/** The key that identifies an attempt of a job. */
export function keyOf(attempt: { jobId: string; attempt: number }): string {
  return `${attempt.jobId}#${attempt.attempt}`;
}
