/**
 * Checks every decision against what the fake workers really run.
 *
 * @module
 */

import type { JobSpecification } from "../job.ts";
import type { SchedulerCore } from "../scheduler_core.ts";
import type { StartGang, StopGang } from "../scheduler_decision.ts";
import type { TaskReference, WorkerDescription } from "../scheduler_event.ts";

/** One worker as it really is. */
export interface FakeWorker {
  readonly description: WorkerDescription;
  state: "up" | "leaving" | "lost";
  /** Tasks that it runs, by job and attempt. */
  readonly running: Map<string, TaskReference[]>;
  zombies: TaskReference[];
}

/** A worker that hasn't announced itself yet. */
export function newFakeWorker(description: WorkerDescription): FakeWorker {
  return { description, state: "lost", running: new Map(), zombies: [] };
}

/** One attempt that was decided. */
export interface FakeGang {
  readonly start: StartGang;
  isRunning: boolean;
}

/** What the oracle sees of the world. */
export interface OracleWorld {
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

/** The checks of one world. */
export class Oracle {
  /** What was found wrong. */
  readonly broken: string[] = [];
  readonly #world: OracleWorld;
  readonly #attempts = new Map<string, number>();
  #guaranteed = new Set<string>();
  #promises = "";

  constructor(options: { world: OracleWorld }) {
    this.#world = options.world;
  }

  checkStart(start: StartGang, isRecovering: boolean): void {
    const name = `oracle: start of ${start.jobId}`;
    const job = this.#world.jobs.get(start.jobId);
    if (this.#world.isOut) {
      this.broken.push(`${name} while the data centre is out`);
    }
    if (this.#world.nowMs > this.#world.permittedUntilMs) {
      this.broken.push(`${name} without permission`);
    }
    if (isRecovering) {
      this.broken.push(`${name} during recovery`);
    }
    if (this.#isActive(start.jobId) || this.#world.ended.has(start.jobId)) {
      this.broken.push(`${name} though it runs or has ended`);
    }
    if (start.attempt <= (this.#attempts.get(start.jobId) ?? 0)) {
      this.broken.push(`${name} with an attempt used before`);
    }
    this.#attempts.set(start.jobId, start.attempt);
    const indexes = new Set(start.placements.map((each) => each.taskIndex));
    if (job === undefined || indexes.size !== job.tasks) {
      this.broken.push(`${name} without every task`);
    }
    this.#checkPlaces(start, job);
  }

  #checkPlaces(start: StartGang, job: JobSpecification | undefined): void {
    const name = `oracle: start of ${start.jobId}`;
    const racks = new Set<string>();
    const workerIds = new Set<string>();
    for (const { workerId } of start.placements) {
      const worker = this.#world.workers.get(workerId);
      workerIds.add(workerId);
      racks.add(worker?.description.rack ?? "none");
      if (worker?.state !== "up") {
        this.broken.push(`${name} on ${workerId}, ${worker?.state}`);
      }
    }
    const isApart = (job?.adjacency === "rack" && racks.size > 1) ||
      (job?.adjacency === "worker" && workerIds.size > 1);
    if (isApart) {
      this.broken.push(`${name} on workers that aren't adjacent`);
    }
  }

  checkStop(stop: StopGang): void {
    // A cell that moves in the same event leaves its work on loan.
    const isWithin = this.#guaranteed.has(keyOf(stop)) &&
      this.#promises === this.#readPromises();
    const isForOthers = stop.reason === "preempted" ||
      (stop.reason === "migrated" && !this.#hasLargerOwn(stop.jobId)) ||
      (stop.reason === "guaranteeReclaimed" && !this.#mayBeForOwn(stop.jobId));
    if (isWithin && isForOthers) {
      this.broken.push(
        `oracle: ${keyOf(stop)} was evicted from its guarantee`,
      );
    }
  }

  /** Whether urgent work of its own client account may want its room. */
  #mayBeForOwn(jobId: string): boolean {
    const job = this.#world.jobs.get(jobId);
    return job?.jobClass !== "urgent" &&
      [...this.#world.jobs.values()].some((other) =>
        other.jobClass === "urgent" &&
        other.clientAccount === job?.clientAccount
      );
  }

  /** Whether a larger gang of its own client account may want its room. */
  #hasLargerOwn(jobId: string): boolean {
    const job = this.#world.jobs.get(jobId);
    return job !== undefined &&
      [...this.#world.jobs.values()].some((other) =>
        other.clientAccount === job.clientAccount &&
        acceleratorsOf(other) > acceleratorsOf(job)
      );
  }

  checkEnd(jobId: string, outcome: string): void {
    if (this.#world.ended.has(jobId)) {
      this.broken.push(`oracle: job ${jobId} ended twice`);
    }
    this.#world.ended.set(jobId, outcome);
    if (this.#isActive(jobId)) {
      this.broken.push(`oracle: job ${jobId} ended while it runs`);
    }
  }

  /** Whether any worker runs a task of it, or may still start one. */
  #isActive(jobId: string): boolean {
    const isStarting = this.#world.pending.some((item) =>
      item.kind === "startGang" && item.jobId === jobId
    );
    return isStarting ||
      [...this.#world.workers.values()].some((worker) =>
        [...worker.running.values()].flat().some((task) => task.jobId === jobId)
      );
  }

  checkKnown(): void {
    for (const jobId of this.#world.jobs.keys()) {
      const view = this.#world.core.jobView(jobId);
      if (view === undefined) {
        this.broken.push(`oracle: job ${jobId} was lost`);
      } else if (
        view.phase === "queued" &&
        (view.waitReason === undefined || view.waitText === undefined)
      ) {
        this.broken.push(`oracle: job ${jobId} waits without a reason`);
      }
    }
  }

  /** Where the guarantee cells lie. */
  #readPromises(): string {
    return this.#world.core.workers()
      .map((each) => `${each.workerId}:${each.promisedAccelerators}`)
      .sort().join();
  }

  noteGuaranteed(): void {
    this.#guaranteed = new Set();
    this.#promises = this.#readPromises();
    for (const view of this.#world.core.jobs()) {
      if (view.isGuaranteed) {
        this.#guaranteed.add(keyOf(view));
      }
    }
  }

  checkCapacity(worker: FakeWorker): void {
    let accelerators = 0;
    for (const [key, tasks] of worker.running) {
      const need = this.#world.gangs.get(key)?.start.resources.accelerators ??
        0;
      accelerators += need * tasks.length;
    }
    if (accelerators > worker.description.accelerators) {
      this.broken.push(
        `oracle: ${worker.description.workerId} runs more than it has`,
      );
    }
  }
}

function acceleratorsOf(job: JobSpecification): number {
  return job.tasks * job.resources.accelerators;
}

/** Names an attempt of a job. */
export function keyOf(attempt: { jobId: string; attempt: number }): string {
  return `${attempt.jobId}#${attempt.attempt}`;
}
