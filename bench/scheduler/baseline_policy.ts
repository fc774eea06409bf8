/**
 * The two policies that the scheduler is compared with: first in, first out
 * with first fit, and greedy best fit. Neither honours guarantees or preempts.
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

/** The two baseline policies. */
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
  endedTasks: number;
  isStopping: boolean;
  isCancelled: boolean;
}

const ATTEMPTS_LIMIT = 3;

/** Keeps a queue in order of submission and places jobs greedily. */
export class BaselinePolicy implements SchedulerPolicy {
  readonly #kind: BaselineKind;
  readonly #dataCentre: string;
  readonly #workers = new Map<string, BaselineWorker>();
  readonly #jobs = new Map<JobId, BaselineJob>();
  #queue: BaselineJob[] = [];
  #acceptsNewWork = true;
  #needsPlacement = false;
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
        this.#acceptsNewWork = dataCentres[this.#dataCentre]?.status !== "out";
        if (!this.#acceptsNewWork) {
          this.#drain(event.atMs);
        }
        this.#needsPlacement = true;
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
        this.#handleTaskEnded(event);
        break;
      case "gangStopped":
      case "gangStartFailed":
        this.#handleGangStopped(event.jobId, event.attempt);
        break;
      case "clockTicked":
        this.#startQueuedJobs();
        break;
      default:
        break;
    }
    return this.#decisions;
  }

  /** The free accelerators, and the largest number of them in one rack. */
  freeCapacity(): { total: number; largest: number } {
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
      endedTasks: 0,
      isStopping: false,
      isCancelled: false,
    };
    this.#jobs.set(specification.jobId, job);
    this.#queue.push(job);
    this.#needsPlacement = true;
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

  #handleTaskEnded(
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
    job.endedTasks += 1;
    if (job.endedTasks === job.specification.tasks) {
      this.#release(job);
      this.#end(job, "succeeded");
    }
  }

  #handleGangStopped(jobId: JobId, attempt: number): void {
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
    this.#needsPlacement = true;
  }

  #startQueuedJobs(): void {
    if (!this.#needsPlacement || !this.#acceptsNewWork) {
      return;
    }
    this.#needsPlacement = false;
    const failedShapes = new Set<string>();
    const remaining: BaselineJob[] = [];
    let isBlocked = false;
    for (const job of this.#queue) {
      const { tasks, adjacency } = job.specification;
      const shape = `${tasks}|${JSON.stringify(job.need)}|${adjacency}`;
      if (isBlocked || failedShapes.has(shape) || !this.#start(job)) {
        failedShapes.add(shape);
        remaining.push(job);
        isBlocked ||= this.#kind === "firstFit";
      }
    }
    this.#queue = remaining;
  }

  #start(job: BaselineJob): boolean {
    const chosen = this.#findPlacement(job);
    if (chosen === undefined) {
      return false;
    }
    job.attempt += 1;
    job.endedTasks = 0;
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
  #findPlacement(job: BaselineJob): BaselineWorker[] | undefined {
    const { tasks, adjacency } = job.specification;
    const groups = this.#candidateGroups(adjacency);
    for (const workers of groups) {
      const chosen: BaselineWorker[] = [];
      for (const worker of this.#sortWorkers(workers)) {
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

  #candidateGroups(
    adjacency: JobSpecification["adjacency"],
  ): BaselineWorker[][] {
    const all = [...this.#workers.values()];
    if (adjacency === "any") {
      return [all];
    }
    if (adjacency === "worker") {
      return this.#sortWorkers(all).map((worker) => [worker]);
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

  #sortWorkers(workers: BaselineWorker[]): BaselineWorker[] {
    return this.#kind === "firstFit"
      ? workers
      : [...workers].sort((a, b) => a.free.accelerators - b.free.accelerators);
  }
}

function freeOf(workers: readonly BaselineWorker[]): number {
  return workers.reduce((total, { free }) => total + free.accelerators, 0);
}
