/**
 * A stand-in for the runtime and its workers, which drives the core under test.
 *
 * @module
 */

import type { Document } from "../../../../version/document/document.ts";
import type { Mutation } from "../core_context.ts";
import type { JobSpecification } from "../job.ts";
import type { JobRecord } from "../job_record.ts";
import { SchedulerCore } from "../scheduler_core.ts";
import type {
  SchedulerDecision,
  StartGang,
  StopGang,
} from "../scheduler_decision.ts";
import type { SchedulerEvent, WorkerDescription } from "../scheduler_event.ts";
import {
  type FakeGang,
  type FakeWorker,
  keyOf,
  newFakeWorker,
  Oracle,
} from "./oracle.ts";
import { DATA_CENTRE } from "./test_document.ts";

const LEASE_MS = 10_000;

/** Options of {@link FakeRuntime}. */
export interface FakeRuntimeOptions {
  readonly document: Document;
  readonly workers: readonly WorkerDescription[];
  readonly mutations?: readonly Mutation[];
}

/** Simulated workers and runtime, and the core under test. */
export class FakeRuntime {
  core: SchedulerCore;
  nowMs = 1_000;
  readonly #oracle = new Oracle({ runtime: this });
  /** Violations found by the oracle and by the core's invariants. */
  readonly violations = this.#oracle.violations;
  readonly jobs = new Map<string, JobSpecification>();
  readonly ended = new Map<string, string>();
  readonly workers = new Map<string, FakeWorker>();
  readonly gangs = new Map<string, FakeGang>();
  pending: (StartGang | StopGang)[] = [];
  /** All decisions so far. */
  readonly decisions: SchedulerDecision[] = [];
  readonly #mutations: readonly Mutation[];
  document: Document;
  #version = 1;
  permittedUntilMs = -1;
  #lastEvent: SchedulerEvent | undefined;

  constructor(options: FakeRuntimeOptions) {
    this.#mutations = options.mutations ?? [];
    this.document = options.document;
    this.core = this.#newCore();
    for (const description of options.workers) {
      this.workers.set(description.workerId, newFakeWorker(description));
    }
    this.configure({});
    this.permit(60_000);
    for (const workerId of this.workers.keys()) {
      this.join(workerId);
    }
  }

  get isOut(): boolean {
    return this.document.dataCentres[DATA_CENTRE]?.status === "out";
  }

  send(event: SchedulerEvent): void {
    this.#lastEvent = event;
    const wasRecovering = this.core.isRecovering;
    const decisions = this.core.handle(event);
    this.decisions.push(...decisions);
    for (const decision of decisions) {
      this.#apply(decision, wasRecovering && this.core.isRecovering);
    }
    this.violations.push(...this.core.findViolations());
    this.#oracle.checkJobs();
    this.#oracle.recordGuaranteed();
  }

  /** Sends the last event again, as a duplicate. */
  repeat(): void {
    if (this.#lastEvent !== undefined) {
      this.send({ ...this.#lastEvent, atMs: this.nowMs });
    }
  }

  tick(byMs: number): void {
    this.nowMs += byMs;
    this.send({ kind: "clockTicked", atMs: this.nowMs });
  }

  permit(forMs: number): void {
    this.permittedUntilMs = Math.max(
      this.permittedUntilMs,
      this.nowMs + forMs,
    );
    this.send({
      kind: "startPermissionExtended",
      atMs: this.nowMs,
      permittedUntilMs: this.permittedUntilMs,
    });
  }

  configure(change: Partial<Document>): void {
    this.document = { ...this.document, ...change };
    this.#version += 1;
    this.#sendConfiguration();
  }

  setStatus(status: "in" | "out"): void {
    const section = this.document.dataCentres[DATA_CENTRE];
    if (section !== undefined) {
      this.configure({
        dataCentres: { [DATA_CENTRE]: { ...section, status } },
      });
    }
  }

  submit(job: JobSpecification): void {
    if (!this.jobs.has(job.jobId)) {
      this.jobs.set(job.jobId, job);
    }
    this.send({ kind: "jobSubmitted", atMs: this.nowMs, job });
  }

  cancel(jobId: string): void {
    this.send({ kind: "jobCancelled", atMs: this.nowMs, jobId });
  }

  join(workerId: string): void {
    const worker = this.workers.get(workerId);
    if (worker === undefined) {
      return;
    }
    worker.state = "up";
    const running = [...worker.running.values()].flat();
    this.send({
      kind: "workerJoined",
      atMs: this.nowMs,
      worker: worker.description,
      running: [...running, ...worker.staleTasks],
    });
  }

  leave(workerId: string): void {
    const worker = this.workers.get(workerId);
    if (worker?.state === "up") {
      worker.state = "leaving";
      this.send({ kind: "workerLeaving", atMs: this.nowMs, workerId });
    }
  }

  /** Loses a worker; its tasks keep running if `leavesStaleTasks` is set. */
  lose(workerId: string, options: { leavesStaleTasks: boolean }): void {
    const worker = this.workers.get(workerId);
    if (worker === undefined || worker.state === "lost") {
      return;
    }
    worker.state = "lost";
    worker.staleTasks = options.leavesStaleTasks
      ? [...worker.running.values()].flat()
      : [];
    worker.running.clear();
    this.send({ kind: "workerLost", atMs: this.nowMs, workerId });
  }

  /** Carries out one pending decision; `index` wraps around. */
  deliver(index: number, options: { fails: boolean }): void {
    const decision = this.pending[index % Math.max(1, this.pending.length)];
    if (decision === undefined) {
      return;
    }
    this.pending.splice(this.pending.indexOf(decision), 1);
    if (decision.kind === "stopGang") {
      this.#stop(decision);
      return;
    }
    const areUp = decision.placements.every(({ workerId }) =>
      this.workers.get(workerId)?.state !== "lost"
    );
    if (options.fails || !areUp) {
      this.#failStart(decision);
      return;
    }
    this.#startTasks(decision);
    this.send({
      kind: "gangStarted",
      atMs: this.nowMs,
      jobId: decision.jobId,
      attempt: decision.attempt,
    });
  }

  /** Reports the usage of a running gang, as a factor of its resources. */
  reportUsage(index: number, options: { factor: number }): void {
    const running = this.#running();
    const gang = running[index % Math.max(1, running.length)];
    if (gang === undefined) {
      return;
    }
    const { jobId, attempt, placements, resources } = gang.start;
    this.send({
      kind: "workerUsageReported",
      atMs: this.nowMs,
      workerId: placements[0]?.workerId ?? "",
      usages: placements.map(({ taskIndex }) => ({
        jobId,
        attempt,
        taskIndex,
        cores: resources.cores * options.factor,
        memoryBytes: resources.memoryBytes * options.factor,
        accelerators: resources.accelerators,
        checkpointedAtMs: this.nowMs,
      })),
    });
  }

  /** Carries out all pending decisions, in order. */
  deliverAll(): void {
    while (this.pending.length > 0) {
      this.deliver(0, { fails: false });
    }
  }

  /** Ends a job's gang: every task succeeds, or the first one fails. */
  endJob(jobId: string, options: { fails: boolean }): void {
    const running = this.#running();
    const index = running.findIndex((gang) => gang.start.jobId === jobId);
    if (index >= 0) {
      this.endGang(index, options);
    }
  }

  /** Ends a running gang: every task succeeds, or the first one fails. */
  endGang(index: number, options: { fails: boolean }): void {
    const running = this.#running();
    const gang = running[index % Math.max(1, running.length)];
    if (gang === undefined) {
      return;
    }
    gang.isRunning = false;
    const { jobId, attempt, placements } = gang.start;
    const ending = options.fails ? placements.slice(0, 1) : placements;
    for (const { taskIndex, workerId } of ending) {
      const worker = this.workers.get(workerId);
      const key = keyOf({ jobId, attempt });
      const tasks = worker?.running.get(key);
      if (worker === undefined || tasks === undefined) {
        continue;
      }
      tasks.splice(tasks.findIndex((each) => each.taskIndex === taskIndex), 1);
      if (tasks.length === 0) {
        worker.running.delete(key);
      }
      if (worker.state !== "lost") {
        const outcome = options.fails ? "failed" : "succeeded";
        this.send({
          kind: "taskEnded",
          atMs: this.nowMs,
          jobId,
          attempt,
          taskIndex,
          workerId,
          outcome,
        });
      }
    }
  }

  /** Replaces the core by one that restores the job records. */
  changeLeader(options: { startsArrive: boolean }): void {
    const records: JobRecord[] = this.core.jobRecords();
    const starts = this.pending.filter((item) => item.kind === "startGang");
    this.pending = [];
    for (const start of options.startsArrive ? starts : []) {
      this.#startTasks(start as StartGang);
    }
    this.core = this.#newCore();
    this.permittedUntilMs = -1;
    this.core.restore(records, {
      atMs: this.nowMs,
      recoverUntilMs: this.nowMs + LEASE_MS,
    });
    this.#sendConfiguration();
    for (const worker of this.workers.values()) {
      if (worker.state !== "lost") {
        this.join(worker.description.workerId);
      }
    }
  }

  #running(): FakeGang[] {
    return [...this.gangs.values()].filter((gang) => gang.isRunning);
  }

  #newCore(): SchedulerCore {
    return new SchedulerCore({
      dataCentre: DATA_CENTRE,
      mutations: this.#mutations,
    });
  }

  #sendConfiguration(): void {
    this.send({
      kind: "configurationChanged",
      atMs: this.nowMs,
      configuration: {
        version: this.#version,
        acceptedAtMs: this.nowMs,
        document: this.document,
      },
    });
  }

  #apply(decision: SchedulerDecision, isRecovering: boolean): void {
    switch (decision.kind) {
      case "startGang":
        this.#oracle.checkStart(decision, isRecovering);
        this.pending.push(decision);
        this.gangs.set(keyOf(decision), { start: decision, isRunning: false });
        return;
      case "stopGang":
        this.#oracle.checkStop(decision);
        this.pending.push(decision);
        return;
      case "jobEnds":
        this.#oracle.checkEnd(decision.jobId, decision.outcome);
        return;
      case "quarantineWorker":
      case "releaseWorker":
      case "jobWaits":
      case "throttleGang":
        return;
    }
  }

  #startTasks(start: StartGang): void {
    for (const { workerId, taskIndex } of start.placements) {
      const worker = this.workers.get(workerId);
      if (worker === undefined || worker.state === "lost") {
        continue;
      }
      const key = keyOf(start);
      const tasks = worker.running.get(key) ?? [];
      tasks.push({ jobId: start.jobId, attempt: start.attempt, taskIndex });
      worker.running.set(key, tasks);
      this.#oracle.checkCapacity(worker);
    }
    this.#setRunning(start, true);
  }

  #failStart({ jobId, attempt, placements }: StartGang): void {
    this.#clearAttempt({ jobId, attempt });
    const workerIds = placements.slice(0, 1).map(({ workerId }) => workerId);
    const atMs = this.nowMs;
    this.send({ kind: "gangStartFailed", atMs, jobId, attempt, workerIds });
  }

  #stop(stop: StopGang): void {
    this.pending = this.pending.filter((item) =>
      item.kind !== "startGang" || keyOf(item) !== keyOf(stop)
    );
    this.#clearAttempt(stop);
    this.send({
      kind: "gangStopped",
      atMs: this.nowMs,
      jobId: stop.jobId,
      attempt: stop.attempt,
      isCheckpointed: stop.wantsCheckpoint,
    });
  }

  #clearAttempt(attempt: { jobId: string; attempt: number }): void {
    const key = keyOf(attempt);
    for (const worker of this.workers.values()) {
      worker.running.delete(key);
      worker.staleTasks = worker.staleTasks.filter((ref) => keyOf(ref) !== key);
    }
    this.#setRunning(attempt, false);
  }

  #setRunning(
    attempt: { jobId: string; attempt: number },
    isRunning: boolean,
  ): void {
    const gang = this.gangs.get(keyOf(attempt));
    if (gang !== undefined) {
      gang.isRunning = isRunning;
    }
  }
}
