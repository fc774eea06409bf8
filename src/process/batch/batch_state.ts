/**
 * The replicated state of the batch scheduler: configuration, jobs, workers
 * and which run of which task is open where.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import { Right } from "purify-ts/Either";
import type { DataCentreId, JobId } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { StateMachine } from "../replication/mod.ts";
import {
  BATCH_FORMAT_VERSION,
  type BatchCommand,
  type BatchItem,
  type BatchOutcome,
  RunEnd,
  type TaskRef,
  type WorkerKey,
  type WorkerRecord,
} from "./batch_command.ts";
import {
  hasOpenRuns,
  isStepDone,
  isStepDue,
  JobPhase,
  type JobRecord,
  newJobRecord,
  occurrenceCount,
  occurrenceOf,
  type StepRecord,
  type TaskRecord,
} from "./job_record.ts";
import {
  ConfigurationIndex,
  type PoolConfiguration,
} from "./pool_configuration.ts";
import { WorkerLives } from "./worker_lives.ts";

/** The configuration in force and the text that it was made from. */
export interface ConfigurationInForce {
  readonly document: string;
  readonly index: ConfigurationIndex;
}

/** The plain form of the state in a snapshot. */
interface BatchSnapshot {
  readonly formatVersion: number;
  readonly epoch: number;
  readonly document: string | undefined;
  readonly configuration: PoolConfiguration | undefined;
  readonly dataCentresOut: readonly DataCentreId[];
  readonly jobs: readonly JobRecord[];
  readonly workers: readonly WorkerRecord[];
}

/** The state machine; read-only for all but the log. */
export class BatchState implements StateMachine<BatchCommand, BatchOutcome> {
  #epoch = 0;
  #inForce: ConfigurationInForce | undefined;
  #dataCentresOut = new Set<DataCentreId>();
  #jobs = new Map<JobId, JobRecord>();
  /** Derived: the jobs that are active or have open runs. */
  #liveJobs = new Map<JobId, JobRecord>();
  #lives = new WorkerLives();

  /** The number of the latest leader's time in office. */
  get epoch(): number {
    return this.#epoch;
  }

  get inForce(): ConfigurationInForce | undefined {
    return this.#inForce;
  }

  get dataCentresOut(): ReadonlySet<DataCentreId> {
    return this.#dataCentresOut;
  }

  get jobs(): ReadonlyMap<JobId, JobRecord> {
    return this.#jobs;
  }

  /** The jobs that are active or have open runs, in the order of acceptance. */
  get liveJobs(): ReadonlyMap<JobId, JobRecord> {
    return this.#liveJobs;
  }

  get workers(): ReadonlyMap<WorkerKey, WorkerRecord> {
    return this.#lives.byKey;
  }

  /** Other lives of the same worker, or at the same address. */
  otherLivesOf(worker: WorkerRecord): WorkerRecord[] {
    return this.#lives.othersOf(worker);
  }

  /** The task's record, if the job is kept and has come that far. */
  taskOf(task: TaskRef): TaskRecord | undefined {
    return this.#jobs.get(task.jobId)?.occurrences[task.occurrence]
      ?.steps[task.step]?.tasks[task.index];
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
        return this.#configure(command.document, command.configuration);
      case "dataCentre":
        if (command.isOut) {
          this.#dataCentresOut.add(command.dataCentre);
        } else {
          this.#dataCentresOut.delete(command.dataCentre);
        }
        return { kind: "dataCentre" };
    }
  }

  snapshot(): Uint8Array {
    const snapshot: BatchSnapshot = {
      formatVersion: BATCH_FORMAT_VERSION,
      epoch: this.#epoch,
      document: this.#inForce?.document,
      configuration: this.#inForce?.index.configuration,
      dataCentresOut: [...this.#dataCentresOut],
      jobs: [...this.#jobs.values()],
      workers: [...this.#lives.byKey.values()],
    };
    return pack(snapshot);
  }

  restore(bytes: Uint8Array): Result<void> {
    const snapshot = unpack(bytes) as Partial<BatchSnapshot>;
    if (snapshot.formatVersion !== BATCH_FORMAT_VERSION) {
      const detail = `batch snapshot of format ${snapshot.formatVersion}`;
      return failure("storageFailed", { detail });
    }
    const { document, configuration, jobs, workers } =
      snapshot as BatchSnapshot;
    this.#epoch = snapshot.epoch ?? 0;
    this.#inForce = document === undefined || configuration === undefined
      ? undefined
      : { document, index: new ConfigurationIndex(configuration) };
    this.#dataCentresOut = new Set(snapshot.dataCentresOut);
    this.#jobs = new Map(jobs.map((job) => [job.id, job]));
    this.#liveJobs = new Map(this.#jobs);
    jobs.forEach((job) => this.#settle(job));
    this.#lives = new WorkerLives(workers);
    return Right(undefined);
  }

  /** The highest version wins; any other changes nothing. */
  #configure(
    document: string,
    configuration: PoolConfiguration,
  ): BatchOutcome {
    const held = this.#inForce?.index.configuration.version ?? -1;
    if (configuration.version > held) {
      this.#inForce = {
        document,
        index: new ConfigurationIndex(configuration),
      };
    }
    return {
      kind: "configured",
      version: Math.max(held, configuration.version),
    };
  }

  #applyItem(item: BatchItem, atMs: number): boolean {
    switch (item.kind) {
      case "accept":
        return this.#accept(item, atMs);
      case "cancel":
        return this.#cancel(item.jobId, atMs);
      case "start":
        return this.#start(item, atMs);
      case "end":
        return this.#end(item, atMs);
      case "worker":
        this.#lives.put(item.worker);
        return true;
      case "workerGone":
        return this.#lives.delete(item.key);
      case "forget":
        for (const id of item.jobIds) {
          this.#jobs.delete(id);
          this.#liveJobs.delete(id);
        }
        return true;
    }
  }

  /** A job that is known already stays as it is. */
  #accept(
    item: Extract<BatchItem, { kind: "accept" }>,
    atMs: number,
  ): boolean {
    if (this.#jobs.has(item.jobId)) {
      return false;
    }
    const { jobId, queue, account, spec, submittedAtMs } = item;
    const job = newJobRecord({
      id: jobId,
      queue,
      account,
      spec,
      submittedAtMs,
      acceptedAtMs: atMs,
    });
    this.#jobs.set(jobId, job);
    this.#liveJobs.set(jobId, job);
    return true;
  }

  #cancel(jobId: JobId, atMs: number): boolean {
    const job = this.#jobs.get(jobId);
    if (job === undefined || job.phase !== JobPhase.active) {
      return false;
    }
    endJob(job, JobPhase.cancelled, atMs);
    this.#settle(job);
    return true;
  }

  #start(
    item: Extract<BatchItem, { kind: "start" }>,
    atMs: number,
  ): boolean {
    const job = this.#jobs.get(item.jobId);
    if (job?.phase !== JobPhase.active) {
      return false;
    }
    const occurrence = occurrenceOf(job, item.occurrence);
    const step = occurrence.steps[item.step];
    const mayStart = step !== undefined &&
      isStepDue(job, occurrence, item.step) &&
      item.tasks.every(({ index, worker }) => {
        const task = step.tasks[index];
        return task !== undefined && !task.isDone &&
          task.worker === undefined && task.run < item.run &&
          this.#mayRunOn(worker);
      });
    if (!mayStart) {
      return false;
    }
    for (const { index, worker } of item.tasks) {
      const task = step.tasks[index]!;
      task.run = item.run;
      task.worker = worker;
      task.startedAtMs = atMs;
    }
    job.hasStarted = true;
    return true;
  }

  #mayRunOn(key: WorkerKey): boolean {
    const worker = this.#lives.byKey.get(key);
    return worker !== undefined && !worker.isDraining &&
      !this.#dataCentresOut.has(worker.dataCentre);
  }

  #end(item: Extract<BatchItem, { kind: "end" }>, atMs: number): boolean {
    const { task: ref, run, how } = item;
    const job = this.#jobs.get(ref.jobId);
    const step = job?.occurrences[ref.occurrence]?.steps[ref.step];
    const task = step?.tasks[ref.index];
    if (
      job === undefined || step === undefined || task === undefined ||
      task.run !== run || task.worker === undefined
    ) {
      return false;
    }
    task.worker = undefined;
    const spec = job.spec.steps[ref.step]!;
    keepCheckpoint({ step, task, isGang: spec.isGang }, item);
    if (how === RunEnd.done && !spec.isLasting) {
      markDone(step, { isGang: spec.isGang, task, run });
      this.#completeIfDone(job, ref, atMs);
    }
    if (how === RunEnd.failed) {
      this.#countFailure(job, { ref, task, step, run }, atMs);
    }
    this.#settle(job);
    return true;
  }

  /** Nothing more is planned for a job that is over and runs nowhere. */
  #settle(job: JobRecord): void {
    if (job.phase !== JobPhase.active && !hasOpenRuns(job)) {
      this.#liveJobs.delete(job.id);
    }
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
    const attempts = this.#inForce?.index.queueNamed(job.queue)?.attempts ??
      Infinity;
    const failures = spec.isGang ? step.gangFailures : task.failures;
    const isHopeless = failures >= attempts && !spec.isLasting;
    if (isHopeless && job.phase === JobPhase.active) {
      endJob(job, JobPhase.failed, atMs);
    }
  }

  #completeIfDone(job: JobRecord, ref: TaskRef, atMs: number): void {
    const occurrence = job.occurrences[ref.occurrence]!;
    if (job.phase !== JobPhase.active) {
      return;
    }
    const wasCounted = occurrence.steps.every(isStepDone);
    if (!wasCounted) {
      return;
    }
    job.doneOccurrences =
      job.occurrences.filter((found) => found.steps.every(isStepDone)).length;
    if (job.doneOccurrences === occurrenceCount(job)) {
      endJob(job, JobPhase.completed, atMs);
    }
  }
}

function endJob(job: JobRecord, phase: JobPhase, atMs: number): void {
  job.phase = phase;
  job.endedAtMs = atMs;
}

/**
 * A gang resumes from one checkpoint: that of the latest run. What was last
 * heard of a run that is lost yields to what a worker said at its end.
 */
function keepCheckpoint(
  kept: { step: StepRecord; task: TaskRecord; isGang: boolean },
  { run, how, checkpoint }: Extract<BatchItem, { kind: "end" }>,
): void {
  const { step, task, isGang } = kept;
  if (checkpoint === "") {
    return;
  }
  if (!isGang) {
    task.checkpoint = checkpoint;
  } else if (how !== RunEnd.lost || (step.checkpointRun ?? 0) < run) {
    step.checkpointRun = run;
    step.tasks.forEach((member) => member.checkpoint = checkpoint);
  }
}

/** One member's end stands for its whole gang. */
function markDone(
  step: StepRecord,
  ended: { isGang: boolean; task: TaskRecord; run: number },
): void {
  const tasks = ended.isGang ? step.tasks : [ended.task];
  for (const task of tasks) {
    if (!task.isDone) {
      task.isDone = true;
      task.worker = undefined;
      step.doneTasks += 1;
    }
  }
}
