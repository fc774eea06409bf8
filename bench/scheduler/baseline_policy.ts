/**
 * The two policies that the scheduler is measured against: first in, first out
 * with first fit, and greedy best fit. Neither knows guarantees nor evicts.
 *
 * @module
 */

import type { JobId } from "../../src/base/identity.ts";
import type {
  JobSpecification,
  SchedulerDecision,
  SchedulerEvent,
  SchedulerPolicy,
} from "../../src/process/scheduler/core/mod.ts";
import {
  addAmounts,
  type Amounts,
  amountsOf,
  tasksFitting,
} from "../../src/process/scheduler/core/amounts.ts";

/** Which of the two. */
export type BaselineKind = "firstFit" | "bestFit";

interface BaselineWorker {
  readonly workerId: string;
  readonly rack: string;
  readonly free: Amounts;
}

interface BaselineJob {
  readonly specification: JobSpecification;
  readonly need: Amounts;
  attempt: number;
  failures: number;
  placements: BaselineWorker[];
  ended: number;
  isStopping: boolean;
  isCancelled: boolean;
}

const ATTEMPTS_LIMIT = 3;

/** A queue in order of submission, and a greedy placement. */
export class BaselinePolicy implements SchedulerPolicy {
  readonly #kind: BaselineKind;
  readonly #dataCentre: string;
  readonly #workers = new Map<string, BaselineWorker>();
  readonly #jobs = new Map<JobId, BaselineJob>();
  #queue: BaselineJob[] = [];
  #isIn = true;
  #isDirty = false;
  #decisions: SchedulerDecision[] = [];

  constructor(options: { kind: BaselineKind; dataCentre: string }) {
    this.#kind = options.kind;
    this.#dataCentre = options.dataCentre;
  }

  handle(event: SchedulerEvent): readonly SchedulerDecision[] {
    this.#decisions = [];
    switch (event.kind) {
      case "configurationChanged": {
        const { dataCentres } = event.configuration.document;
        this.#isIn = dataCentres[this.#dataCentre]?.status !== "out";
        if (!this.#isIn) {
          this.#drain(event.atMs);
        }
        this.#isDirty = true;
        break;
      }
      case "workerJoined":
        this.#workers.set(event.worker.workerId, {
          workerId: event.worker.workerId,
          rack: event.worker.rack,
          free: amountsOf(event.worker),
        });
        break;
      case "jobSubmitted":
        this.#submit(event.job);
        break;
      case "jobCancelled":
        this.#cancel(event.jobId, event.atMs);
        break;
      case "taskEnded":
        this.#taskEnded(event);
        break;
      case "gangStopped":
      case "gangStartFailed":
        this.#stopped(event.jobId, event.attempt);
        break;
      case "clockTicked":
        this.#place();
        break;
      default:
        break;
    }
    return this.#decisions;
  }

  /** Free accelerators, and the most of them in any one rack. */
  freeRoom(): { total: number; largest: number } {
    const perRack = new Map<string, number>();
    let total = 0;
    for (const { rack, free } of this.#workers.values()) {
      total += free.accelerators;
      perRack.set(rack, (perRack.get(rack) ?? 0) + free.accelerators);
    }
    return { total, largest: Math.max(0, ...perRack.values()) };
  }

  #submit(specification: JobSpecification): void {
    const job: BaselineJob = {
      specification,
      need: amountsOf(specification.resources),
      attempt: 0,
      failures: 0,
      placements: [],
      ended: 0,
      isStopping: false,
      isCancelled: false,
    };
    this.#jobs.set(specification.jobId, job);
    this.#queue.push(job);
    this.#isDirty = true;
  }

  #cancel(jobId: JobId, atMs: number): void {
    const job = this.#jobs.get(jobId);
    if (job === undefined) {
      return;
    }
    job.isCancelled = true;
    if (job.placements.length > 0) {
      this.#stop(job, atMs, "cancelled");
      return;
    }
    this.#queue = this.#queue.filter((each) => each !== job);
    this.#end(job, "cancelled");
  }

  #drain(atMs: number): void {
    for (const job of this.#jobs.values()) {
      if (job.placements.length > 0) {
        this.#stop(job, atMs, "drained");
      }
    }
  }

  #stop(
    job: BaselineJob,
    atMs: number,
    reason: "cancelled" | "drained" | "gangBroken",
  ): void {
    if (job.isStopping) {
      return;
    }
    job.isStopping = true;
    this.#decisions.push({
      kind: "stopGang",
      jobId: job.specification.jobId,
      attempt: job.attempt,
      reason,
      wantsCheckpoint: reason === "drained",
      checkpointDeadlineMs: atMs + 120_000,
    });
  }

  #taskEnded(
    event: Extract<SchedulerEvent, { kind: "taskEnded" }>,
  ): void {
    const job = this.#jobs.get(event.jobId);
    if (job === undefined || job.attempt !== event.attempt) {
      return;
    }
    if (event.outcome !== "succeeded") {
      job.failures += 1;
      this.#stop(job, event.atMs, "gangBroken");
      return;
    }
    job.ended += 1;
    if (job.ended === job.specification.tasks) {
      this.#release(job);
      this.#end(job, "succeeded");
    }
  }

  #stopped(jobId: JobId, attempt: number): void {
    const job = this.#jobs.get(jobId);
    if (job?.attempt !== attempt || job.placements.length === 0) {
      return;
    }
    this.#release(job);
    if (job.isCancelled) {
      this.#end(job, "cancelled");
    } else if (job.failures >= ATTEMPTS_LIMIT) {
      this.#end(job, "failed");
    } else {
      this.#queue.unshift(job);
    }
  }

  #end(job: BaselineJob, outcome: "succeeded" | "failed" | "cancelled"): void {
    this.#jobs.delete(job.specification.jobId);
    this.#decisions.push({
      kind: "jobEnds",
      jobId: job.specification.jobId,
      outcome,
    });
  }

  #release(job: BaselineJob): void {
    for (const worker of job.placements) {
      addAmounts(worker.free, job.need);
    }
    job.placements = [];
    this.#isDirty = true;
  }

  #place(): void {
    if (!this.#isDirty || !this.#isIn) {
      return;
    }
    this.#isDirty = false;
    const failed = new Set<string>();
    const left: BaselineJob[] = [];
    let isBlocked = false;
    for (const job of this.#queue) {
      const { tasks, adjacency } = job.specification;
      const shape = `${tasks}|${JSON.stringify(job.need)}|${adjacency}`;
      if (isBlocked || failed.has(shape) || !this.#start(job)) {
        failed.add(shape);
        left.push(job);
        isBlocked ||= this.#kind === "firstFit";
      }
    }
    this.#queue = left;
  }

  #start(job: BaselineJob): boolean {
    const chosen = this.#choose(job);
    if (chosen === undefined) {
      return false;
    }
    job.attempt += 1;
    job.ended = 0;
    job.isStopping = false;
    job.placements = chosen;
    for (const worker of chosen) {
      addAmounts(worker.free, job.need, { factor: -1 });
    }
    this.#decisions.push({
      kind: "startGang",
      jobId: job.specification.jobId,
      attempt: job.attempt,
      resources: job.specification.resources,
      placements: chosen.map((worker, taskIndex) => ({
        taskIndex,
        workerId: worker.workerId,
      })),
      configurationVersion: 0,
    });
    return true;
  }

  /** One worker for each task, or undefined when the gang doesn't fit. */
  #choose(job: BaselineJob): BaselineWorker[] | undefined {
    const { tasks, adjacency } = job.specification;
    const groups = this.#groups(adjacency);
    for (const workers of groups) {
      const chosen: BaselineWorker[] = [];
      for (const worker of this.#ordered(workers)) {
        const fitting = tasksFitting(worker.free, job.need);
        for (let at = 0; at < fitting && chosen.length < tasks; at++) {
          chosen.push(worker);
        }
      }
      if (chosen.length === tasks) {
        return chosen;
      }
    }
    return undefined;
  }

  #groups(adjacency: JobSpecification["adjacency"]): BaselineWorker[][] {
    const all = [...this.#workers.values()];
    if (adjacency === "any") {
      return [all];
    }
    if (adjacency === "worker") {
      return this.#ordered(all).map((worker) => [worker]);
    }
    const racks = new Map<string, BaselineWorker[]>();
    for (const worker of all) {
      const rack = racks.get(worker.rack) ?? [];
      rack.push(worker);
      racks.set(worker.rack, rack);
    }
    const groups = [...racks.values()];
    return this.#kind === "firstFit"
      ? groups
      : groups.sort((left, right) => freeOf(left) - freeOf(right));
  }

  #ordered(workers: BaselineWorker[]): BaselineWorker[] {
    return this.#kind === "firstFit"
      ? workers
      : [...workers].sort((a, b) => a.free.accelerators - b.free.accelerators);
  }
}

function freeOf(workers: readonly BaselineWorker[]): number {
  return workers.reduce((total, { free }) => total + free.accelerators, 0);
}
