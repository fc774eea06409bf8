/**
 * A minimal first-in first-out core, for tests of the runtime.
 *
 * @module
 */

import type {
  SchedulerDecision,
  WaitReason,
} from "../../core/scheduler_decision.ts";
import type { SchedulerEvent, TaskEnded } from "../../core/scheduler_event.ts";
import type { JobRecord } from "../../core/mod.ts";
import type { JobSpecification } from "../../core/job.ts";
import type { DecisionCore } from "../decision_core.ts";

interface KnownJob {
  readonly job: JobSpecification;
  state: "queued" | "starting" | "running" | "stopping";
  attempt: number;
  isCancelled: boolean;
  notBeforeMs: number;
  workerIds: string[];
  succeeded: Set<number>;
}

interface KnownWorker {
  readonly accelerators: number;
  isLeaving: boolean;
  /** Until when it gets no tasks because a start on it failed. */
  avoidedUntilMs: number;
}

const RETRY_DELAY_MS = 500;

const AVOIDANCE_MS = 3_000;

/** Starts jobs in order of submission wherever accelerators are free. */
export class FakeCore implements DecisionCore {
  readonly #dataCentre: string;
  readonly #jobs = new Map<string, KnownJob>();
  readonly #workers = new Map<string, KnownWorker>();
  #permittedUntilMs = 0;
  #isIn = false;
  #configurationVersion = 0;

  constructor(options: { dataCentre: string }) {
    this.#dataCentre = options.dataCentre;
  }

  restore(records: readonly JobRecord[]): void {
    for (const { specification, attempt } of records) {
      this.#queue(specification, attempt);
    }
  }

  handle(event: SchedulerEvent): readonly SchedulerDecision[] {
    const decisions = this.#applyEvent(event);
    return [...decisions, ...this.#startAll(event.atMs)];
  }

  waitReason(jobId: string): WaitReason | undefined {
    return this.#jobs.get(jobId)?.state === "queued" ? "capacity" : undefined;
  }

  #applyEvent(event: SchedulerEvent): SchedulerDecision[] {
    switch (event.kind) {
      case "configurationChanged":
        return this.#configure(event.configuration);
      case "startPermissionExtended":
        this.#permittedUntilMs = event.permittedUntilMs;
        return [];
      case "workerJoined":
        this.#workers.set(event.worker.workerId, {
          accelerators: event.worker.accelerators,
          isLeaving: false,
          avoidedUntilMs: 0,
        });
        event.running.forEach((task) => {
          const known = this.#jobs.get(task.jobId);
          if (known !== undefined) {
            known.state = "running";
            known.attempt = task.attempt;
            known.workerIds.push(event.worker.workerId);
          }
        });
        return [];
      case "workerUsageReported":
      case "clockTicked":
        return [];
      case "workerLeaving":
        return this.#leave(event.workerId);
      case "workerLost":
        this.#workers.delete(event.workerId);
        return [];
      case "jobSubmitted":
        this.#queue(event.job, event.attemptsUsed ?? 0);
        return [{
          kind: "jobWaits",
          jobId: event.job.jobId,
          reason: "capacity",
        }];
      case "jobCancelled":
        return this.#cancel(event.jobId);
      case "gangStarted":
        return this.#change(event, (known) => {
          known.state = known.state === "stopping" ? "stopping" : "running";
          return [];
        });
      case "gangStartFailed":
        event.workerIds.forEach((each) => this.#avoid(each, event.atMs));
        return this.#change(event, (known) => this.#requeue(known, event.atMs));
      case "gangStopped":
        return this.#change(event, (known) => this.#requeue(known, event.atMs));
      case "taskEnded":
        return this.#change(event, (known) => this.#endTask(known, event));
    }
  }

  #queue(job: JobSpecification, attempt: number): void {
    this.#jobs.set(job.jobId, {
      job,
      state: "queued",
      attempt,
      isCancelled: false,
      notBeforeMs: 0,
      workerIds: [],
      succeeded: new Set(),
    });
  }

  #configure(
    configuration: Extract<
      SchedulerEvent,
      { kind: "configurationChanged" }
    >["configuration"],
  ): SchedulerDecision[] {
    this.#configurationVersion = configuration.version;
    const section = configuration.document.dataCentres[this.#dataCentre];
    this.#isIn = section?.status === "in";
    return this.#isIn
      ? []
      : [...this.#jobs.values()].flatMap((known) => this.#stop(known, true));
  }

  #change(
    event: { readonly jobId: string; readonly attempt: number },
    action: (known: KnownJob) => SchedulerDecision[],
  ): SchedulerDecision[] {
    const known = this.#jobs.get(event.jobId);
    return known?.attempt === event.attempt ? action(known) : [];
  }

  #avoid(workerId: string, atMs: number): void {
    const worker = this.#workers.get(workerId);
    if (worker !== undefined) {
      worker.avoidedUntilMs = atMs + AVOIDANCE_MS;
    }
  }

  #leave(workerId: string): SchedulerDecision[] {
    const worker = this.#workers.get(workerId);
    if (worker !== undefined) {
      worker.isLeaving = true;
    }
    return [...this.#jobs.values()]
      .filter((known) => known.workerIds.includes(workerId))
      .flatMap((known) => this.#stop(known, true));
  }

  #cancel(jobId: string): SchedulerDecision[] {
    const known = this.#jobs.get(jobId);
    if (known === undefined) {
      return [];
    }
    known.isCancelled = true;
    if (known.state === "queued") {
      this.#jobs.delete(jobId);
      return [{ kind: "jobEnds", jobId, outcome: "cancelled" }];
    }
    return this.#stop(known, false);
  }

  #stop(known: KnownJob, wantsCheckpoint: boolean): SchedulerDecision[] {
    if (known.state !== "running" && known.state !== "starting") {
      return [];
    }
    known.state = "stopping";
    const { jobId } = known.job;
    return [{
      kind: "stopGang",
      jobId,
      attempt: known.attempt,
      reason: wantsCheckpoint ? "drained" : "cancelled",
      wantsCheckpoint,
      checkpointDeadlineMs: wantsCheckpoint ? Number.MAX_SAFE_INTEGER : 0,
    }];
  }

  #requeue(known: KnownJob, atMs: number): SchedulerDecision[] {
    const { jobId } = known.job;
    known.workerIds = [];
    known.succeeded.clear();
    known.state = "queued";
    known.notBeforeMs = atMs + RETRY_DELAY_MS;
    if (!known.isCancelled) {
      return [{ kind: "jobWaits", jobId, reason: "retryDelay" }];
    }
    this.#jobs.delete(jobId);
    return [{ kind: "jobEnds", jobId, outcome: "cancelled" }];
  }

  #endTask(known: KnownJob, event: TaskEnded): SchedulerDecision[] {
    const { job } = known;
    if (event.outcome !== "succeeded") {
      return this.#stop(known, false);
    }
    known.succeeded.add(event.taskIndex);
    if (known.succeeded.size < job.tasks) {
      return [];
    }
    this.#jobs.delete(job.jobId);
    return [{ kind: "jobEnds", jobId: job.jobId, outcome: "succeeded" }];
  }

  #startAll(atMs: number): SchedulerDecision[] {
    if (!this.#isIn || atMs >= this.#permittedUntilMs) {
      return [];
    }
    return [...this.#jobs.values()]
      .filter((known) => known.state === "queued" && known.notBeforeMs <= atMs)
      .flatMap((known) => this.#start(known, atMs));
  }

  #start(known: KnownJob, atMs: number): SchedulerDecision[] {
    const workerIds = this.#place(known.job, atMs);
    if (workerIds === undefined) {
      return [];
    }
    known.state = "starting";
    known.attempt += 1;
    known.workerIds = workerIds;
    return [{
      kind: "startGang",
      jobId: known.job.jobId,
      attempt: known.attempt,
      resources: known.job.resources,
      placements: workerIds.map((workerId, taskIndex) => ({
        taskIndex,
        workerId,
      })),
      configurationVersion: this.#configurationVersion,
    }];
  }

  /** Chooses for each task the worker with the most free accelerators. */
  #place(job: JobSpecification, atMs: number): string[] | undefined {
    const free = new Map<string, number>();
    for (const [workerId, worker] of this.#workers) {
      if (!worker.isLeaving && worker.avoidedUntilMs <= atMs) {
        free.set(
          workerId,
          worker.accelerators - this.#usedAccelerators(workerId),
        );
      }
    }
    const chosen: string[] = [];
    for (let task = 0; task < job.tasks; task++) {
      const best = [...free.entries()]
        .sort(([, left], [, right]) => right - left)[0];
      if (best === undefined || best[1] < job.resources.accelerators) {
        return undefined;
      }
      free.set(best[0], best[1] - job.resources.accelerators);
      chosen.push(best[0]);
    }
    return chosen;
  }

  #usedAccelerators(workerId: string): number {
    return [...this.#jobs.values()].reduce((sum, known) => {
      const tasks = known.workerIds.filter((each) => each === workerId).length;
      return sum + tasks * known.job.resources.accelerators;
    }, 0);
  }
}
