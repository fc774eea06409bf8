/**
 * The replicated state of the batch scheduler: the configuration, the workers,
 * and the jobs with the open runs of their tasks.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import { Right } from "purify-ts/Either";
import type { DataCentreId, JobId } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { StateMachine } from "../replication/mod.ts";
import type { BatchSnapshot } from "./batch_snapshot.ts";
import {
  BATCH_FORMAT_VERSION,
  type BatchCommand,
  type BatchItem,
  type BatchOutcome,
  findWorkerFault,
  RunEnd,
  type TaskRef,
  type WorkerKey,
  type WorkerRecord,
} from "./batch_command.ts";
import { isStartWithinLimit } from "./decisions/account_limits.ts";
import { AccountUsage } from "./decisions/account_usage.ts";
import { moveJobsOfDroppedQueues } from "./dropped_queues.ts";
import type { WorkerSpeedRecord } from "./decisions/worker_speed_class.ts";
import {
  closeOccurrence,
  isOccurrenceDone,
  isStepReady,
  JobPhase,
  type JobRecord,
  newJobRecord,
  occurrenceCount,
  occurrenceOf,
  type StepRecord,
  type TaskRecord,
} from "./job_record.ts";
import { JobTable } from "./job_table.ts";
import {
  endJob,
  isOutOfAttempts,
  markDone,
  storeCheckpoint,
} from "./job_transitions.ts";
import { ConfigurationIndex } from "./pool_configuration.ts";
import { WorkerIncarnations } from "./worker_incarnations.ts";

/** The configuration in force, and the operator's document that it is from. */
export interface ConfigurationInForce {
  readonly document: string;
  readonly index: ConfigurationIndex;
}

/** The state machine; only the log applies commands to it. */
export class BatchState implements StateMachine<BatchCommand, BatchOutcome> {
  #epoch = 0;
  #inForce: ConfigurationInForce | undefined;
  #dataCentresOut = new Set<DataCentreId>();
  #dataCentreRevision = 0;
  #jobs = new JobTable();
  #tombstones = new Map<JobId, number>();
  #workers = new WorkerIncarnations();
  /** Derived from the open runs of all jobs. */
  #accountUsage = new AccountUsage();

  /** The epoch of the latest leader; 0 before the first. */
  get epoch(): number {
    return this.#epoch;
  }

  get inForce(): ConfigurationInForce | undefined {
    return this.#inForce;
  }

  get dataCentresOut(): ReadonlySet<DataCentreId> {
    return this.#dataCentresOut;
  }

  /** How many orders about data centres have taken effect. */
  get dataCentreRevision(): number {
    return this.#dataCentreRevision;
  }

  get jobs(): ReadonlyMap<JobId, JobRecord> {
    return this.#jobs.byId;
  }

  /** The jobs that are active or have open runs, in the order of acceptance. */
  get liveJobs(): ReadonlyMap<JobId, JobRecord> {
    return this.#jobs.live;
  }

  /** Estimated heap of the specifications of all jobs, ended ones too. */
  get jobSpecBytes(): number {
    return this.#jobs.specBytes;
  }

  /**
   * The IDs that were cancelled before a job was accepted for them, and the Unix
   * times of that. A submission that arrives later doesn't run.
   */
  get tombstones(): ReadonlyMap<JobId, number> {
    return this.#tombstones;
  }

  get workers(): ReadonlyMap<WorkerKey, WorkerRecord> {
    return this.#workers.byKey;
  }

  /** What each client account has running. */
  get accountUsage(): AccountUsage {
    return this.#accountUsage;
  }

  /** The speed classes of worker incarnations that have been measured. */
  get workerSpeeds(): ReadonlyMap<WorkerKey, WorkerSpeedRecord> {
    return this.#workers.speeds;
  }

  /** Other incarnations of the same worker, or at the same address. */
  conflictingWorkers(worker: WorkerRecord): readonly WorkerRecord[] {
    return this.#workers.conflictingWith(worker);
  }

  /** The task's record, if the job is known and the occurrence has started. */
  taskOf(task: TaskRef): TaskRecord | undefined {
    return this.#jobs.byId.get(task.jobId)?.occurrences[task.occurrence]
      ?.steps[task.step]?.tasks[task.index];
  }

  /** Whether a run may be started on the worker. */
  mayRunOn(key: WorkerKey): boolean {
    const worker = this.#workers.byKey.get(key);
    return worker !== undefined && !worker.isDraining &&
      !this.#dataCentresOut.has(worker.dataCentre);
  }

  apply(command: BatchCommand): BatchOutcome {
    switch (command.kind) {
      case "epoch":
        this.#epoch += 1;
        return { kind: "epoch", epoch: this.#epoch };
      case "batch":
        if (command.epoch !== this.#epoch) {
          return { kind: "deposed" };
        }
        return {
          kind: "batch",
          applied: command.items.map((item) =>
            this.#applyItem(item, command.atMs)
          ),
        };
      case "configure":
        return this.#configure(command);
      case "dataCentre":
        return this.#switchDataCentre(command);
    }
  }

  snapshot(): Uint8Array {
    const snapshot: BatchSnapshot = {
      formatVersion: BATCH_FORMAT_VERSION,
      epoch: this.#epoch,
      document: this.#inForce?.document,
      configuration: this.#inForce?.index.configuration,
      droppedQueues: this.#inForce?.index.dropped ?? [],
      dataCentresOut: [...this.#dataCentresOut],
      dataCentreRevision: this.#dataCentreRevision,
      jobs: [...this.#jobs.byId.values()],
      tombstones: [...this.#tombstones],
      workers: [...this.#workers.byKey.values()],
      workerSpeeds: [...this.#workers.speeds],
    };
    return pack(snapshot);
  }

  restore(bytes: Uint8Array): Result<void> {
    const snapshot = unpack(bytes) as Partial<BatchSnapshot>;
    if (snapshot.formatVersion !== BATCH_FORMAT_VERSION) {
      const detail =
        `batch snapshot has the unsupported format ${snapshot.formatVersion}`;
      return failure("storageFailed", { detail });
    }
    const { document, configuration, droppedQueues, jobs, workers } =
      snapshot as BatchSnapshot;
    this.#epoch = snapshot.epoch ?? 0;
    this.#inForce = document === undefined || configuration === undefined
      ? undefined
      : {
        document,
        index: new ConfigurationIndex(configuration, droppedQueues),
      };
    this.#dataCentresOut = new Set(snapshot.dataCentresOut);
    this.#dataCentreRevision = snapshot.dataCentreRevision ?? 0;
    this.#jobs = new JobTable(jobs);
    this.#accountUsage = AccountUsage.ofJobs(jobs);
    this.#tombstones = new Map(snapshot.tombstones);
    // Earlier versions stored what they were told.
    this.#workers = new WorkerIncarnations(
      workers.filter((worker) => findWorkerFault(worker) === undefined),
      snapshot.workerSpeeds,
    );
    return Right(undefined);
  }

  /**
   * Puts a configuration in force if its version is higher than the current
   * one's.
   */
  #configure(
    command: Extract<BatchCommand, { kind: "configure" }>,
  ): BatchOutcome {
    const { document, configuration, atMs } = command;
    const currentVersion = this.#versionInForce;
    if (configuration.version > currentVersion) {
      const dropped = moveJobsOfDroppedQueues(this.#jobs.live.values(), {
        known: this.#inForce?.index,
        next: configuration,
      });
      this.#inForce = {
        document,
        index: new ConfigurationIndex(configuration, dropped),
      };
      this.#failJobsOutOfAttempts(atMs);
    }
    return {
      kind: "configured",
      version: Math.max(currentVersion, configuration.version),
    };
  }

  /** The version in force; lower than any other before the first. */
  get #versionInForce(): number {
    return this.#inForce?.index.configuration.version ?? -1;
  }

  /** Ends the jobs whose failures exhaust the attempts that are in force now. */
  #failJobsOutOfAttempts(atMs: number | undefined): void {
    for (const job of [...this.#jobs.live.values()]) {
      if (
        job.phase === JobPhase.active &&
        isOutOfAttempts(job, this.#attemptsOf(job))
      ) {
        endJob(job, JobPhase.failed, atMs ?? job.acceptedAtMs);
        this.#jobs.dropIfFinished(job);
      }
    }
  }

  #attemptsOf(job: JobRecord): number {
    return this.#inForce?.index.queueNamed(job.queue)?.attempts ?? Infinity;
  }

  #switchDataCentre(
    order: Extract<BatchCommand, { kind: "dataCentre" }>,
  ): BatchOutcome {
    const { dataCentre, isOut, revision } = order;
    if (revision !== undefined && revision !== this.#dataCentreRevision) {
      return { kind: "superseded" };
    }
    this.#dataCentreRevision += 1;
    if (isOut) {
      this.#dataCentresOut.add(dataCentre);
    } else {
      this.#dataCentresOut.delete(dataCentre);
    }
    return { kind: "dataCentre" };
  }

  #applyItem(item: BatchItem, atMs: number): boolean {
    switch (item.kind) {
      case "accept":
        return this.#accept(item, atMs);
      case "cancel":
        return this.#cancel(item, atMs);
      case "start":
        return this.#start(item, atMs);
      case "settle":
        return this.#settle(item);
      case "end":
        return this.#end(item, atMs);
      case "worker":
        if (findWorkerFault(item.worker) !== undefined) {
          return false;
        }
        this.#workers.put(item.worker);
        return true;
      case "workerGone":
        return this.#workers.delete(item.key);
      case "workerSpeed":
        return this.#workers.putSpeed(item.key, item);
      case "forget":
        for (const id of item.jobIds) {
          this.#accountUsage.removeJob(this.#jobs.remove(id));
          this.#tombstones.delete(id);
        }
        return true;
    }
  }

  /**
   * Adds a job, unless it is known already or was decided on under another
   * configuration than the one in force. A job that was cancelled before is over.
   */
  #accept(
    item: Extract<BatchItem, { kind: "accept" }>,
    atMs: number,
  ): boolean {
    const { jobId, queue, account, spec, submittedAtMs } = item;
    const { version = this.#versionInForce } = item;
    const isCurrent = version === this.#versionInForce &&
      this.#inForce?.index.queueNamed(queue) !== undefined;
    if (this.#jobs.byId.has(jobId) || !isCurrent) {
      return false;
    }
    const job = newJobRecord({
      id: jobId,
      queue,
      account,
      spec,
      submittedAtMs,
      acceptedAtMs: atMs,
    });
    this.#jobs.add(job);
    if (this.#tombstones.delete(jobId)) {
      endJob(job, JobPhase.cancelled, atMs);
      this.#jobs.dropIfFinished(job);
    }
    return true;
  }

  #cancel(
    item: Extract<BatchItem, { kind: "cancel" }>,
    atMs: number,
  ): boolean {
    const { jobId, version = this.#versionInForce } = item;
    if (version !== this.#versionInForce) {
      return false;
    }
    const job = this.#jobs.byId.get(jobId);
    if (job === undefined) {
      this.#tombstones.set(jobId, atMs);
      return true;
    }
    if (job.phase !== JobPhase.active) {
      return false;
    }
    endJob(job, JobPhase.cancelled, atMs);
    this.#jobs.dropIfFinished(job);
    return true;
  }

  #start(
    item: Extract<BatchItem, { kind: "start" }>,
    atMs: number,
  ): boolean {
    const job = this.#jobs.byId.get(item.jobId);
    if (job?.phase !== JobPhase.active) {
      return false;
    }
    const occurrence = occurrenceOf(job, item.occurrence);
    const step = occurrence.steps[item.step];
    const mayStart = step !== undefined &&
      isStepReady(job, occurrence, item.step) &&
      item.tasks.every(({ index, worker }) => {
        const task = step.tasks[index];
        return task !== undefined && !task.isDone &&
          task.worker === undefined && task.run < item.run &&
          this.mayRunOn(worker) && this.#serves(worker, job);
      }) &&
      // A version since the decision may have lowered the limit.
      isStartWithinLimit(this.#accountUsage, this.#inForce?.index, {
        account: job.account,
        demand: job.spec.steps[item.step]!.demand,
        count: item.tasks.length,
      });
    if (!mayStart) {
      return false;
    }
    for (const { index, worker } of item.tasks) {
      const task = step.tasks[index]!;
      task.run = item.run;
      task.worker = worker;
      task.startedAtMs = atMs;
      delete task.isSettled;
    }
    this.#accountUsage.count(job, item.step, item.tasks.length);
    job.hasStarted = true;
    return true;
  }

  #settle(item: Extract<BatchItem, { kind: "settle" }>): boolean {
    for (const index of item.indices) {
      const task = this.taskOf({ ...item, index });
      if (task?.run === item.run && task.worker !== undefined) {
        task.isSettled = true;
      }
    }
    return true;
  }

  /** Whether the worker is of the service that the job's queue names now. */
  #serves(key: WorkerKey, job: JobRecord): boolean {
    return this.#workers.byKey.get(key)?.service ===
      this.#inForce?.index.queueNamed(job.queue)?.service;
  }

  #end(item: Extract<BatchItem, { kind: "end" }>, atMs: number): boolean {
    const { task: ref, run, how } = item;
    const job = this.#jobs.byId.get(ref.jobId);
    const step = job?.occurrences[ref.occurrence]?.steps[ref.step];
    const task = step?.tasks[ref.index];
    if (
      job === undefined || step === undefined || task === undefined ||
      task.run !== run || task.worker === undefined
    ) {
      return false;
    }
    task.worker = undefined;
    this.#accountUsage.count(job, ref.step, -1);
    const spec = job.spec.steps[ref.step]!;
    storeCheckpoint({ step, task, isGang: spec.isGang }, item);
    if (how === RunEnd.done && !spec.isLasting) {
      const others = markDone(step, { isGang: spec.isGang, task });
      this.#accountUsage.count(job, ref.step, -others);
      this.#completeIfDone(job, ref, atMs);
    }
    if (how === RunEnd.failed) {
      this.#countFailure(job, { ref, task, step, run }, atMs);
    }
    this.#jobs.dropIfFinished(job);
    return true;
  }

  #countFailure(
    job: JobRecord,
    failed: { ref: TaskRef; task: TaskRecord; step: StepRecord; run: number },
    atMs: number,
  ): void {
    const { ref, task, step, run } = failed;
    const spec = job.spec.steps[ref.step]!;
    task.failures += 1;
    if (spec.isGang && run > step.lastFailedRun) {
      step.lastFailedRun = run;
      step.gangFailures += 1;
    }
    const attempts = this.#attemptsOf(job);
    const failures = spec.isGang ? step.gangFailures : task.failures;
    const isOutOfAttempts = failures >= attempts && !spec.isLasting;
    if (isOutOfAttempts && job.phase === JobPhase.active) {
      endJob(job, JobPhase.failed, atMs);
    }
  }

  #completeIfDone(job: JobRecord, ref: TaskRef, atMs: number): void {
    const occurrence = job.occurrences[ref.occurrence]!;
    if (job.phase !== JobPhase.active) {
      return;
    }
    if (!isOccurrenceDone(occurrence)) {
      return;
    }
    closeOccurrence(job, ref.occurrence);
    if (job.doneOccurrences === occurrenceCount(job)) {
      endJob(job, JobPhase.completed, atMs);
    }
  }
}
