/**
 * The scheduler of one data centre: a pure function of its state and the
 * events, which carry their own moments.
 *
 * @module
 */

import type { DataCentreId, JobId } from "../../../base/identity.ts";
import { CellUpkeep } from "./cell_upkeep.ts";
import { CoreContext, type Mutation } from "./core_context.ts";
import { Evictor } from "./evictor.ts";
import { GangEvents } from "./gang_events.ts";
import { GangLifecycle } from "./gang_lifecycle.ts";
import { findBrokenInvariants } from "./invariants.ts";
import { JobEvents } from "./job_events.ts";
import { type JobRecord, recordOf } from "./job_record.ts";
import { Placer } from "./placer.ts";
import { PlacingPass } from "./placing_pass.ts";
import { Quarantine } from "./quarantine.ts";
import { Recovery } from "./recovery.ts";
import { ReservationManager } from "./reservation_manager.ts";
import type { SchedulerDecision } from "./scheduler_decision.ts";
import type { SchedulerEvent } from "./scheduler_event.ts";
import { VainTries } from "./vain_tries.ts";
import {
  type JobView,
  jobViewOf,
  metricsOf,
  type SchedulerMetrics,
  type WorkerView,
  workerViewOf,
} from "./views.ts";
import { WorkerEvents } from "./worker_events.ts";

/** What a scheduler core is made with. */
export interface SchedulerCoreOptions {
  readonly dataCentre: DataCentreId;
  /** @internal */
  readonly mutations?: readonly Mutation[];
}

/** What a new leader takes over. */
export interface RestoreOptions {
  readonly atMs: number;
  /**
   * By when a worker that stays silent has stopped its tasks, because its
   * lease has run out.
   */
  readonly recoverUntilMs: number;
  /** When the data centre was last taken in again, if that is known. */
  readonly returnedAtMs?: number;
}

/** What every policy offers to the runtime and the bench. */
export interface SchedulerPolicy {
  handle(event: SchedulerEvent): readonly SchedulerDecision[];
}

/** The scheduler of one data centre. */
export class SchedulerCore implements SchedulerPolicy {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #reservations: ReservationManager;
  readonly #upkeep: CellUpkeep;
  readonly #quarantine: Quarantine;
  readonly #gangEvents: GangEvents;
  readonly #workerEvents: WorkerEvents;
  readonly #jobEvents: JobEvents;
  readonly #pass: PlacingPass;
  #recovery: Recovery | undefined;

  constructor(options: SchedulerCoreOptions) {
    const context = new CoreContext({
      dataCentre: options.dataCentre,
      mutations: new Set(options.mutations),
    });
    const lifecycle = new GangLifecycle({ context });
    const reservations = new ReservationManager({ context, lifecycle });
    const upkeep = new CellUpkeep({ context, reservations });
    const quarantine = new Quarantine({
      context,
      onOut: (worker) => this.#workerEvents.outOfUse(worker),
    });
    const gangEvents = new GangEvents({ context, lifecycle, quarantine });
    const vain = new VainTries();
    const evictor = new Evictor({ context, reservations, vain });
    const placer = new Placer({
      context,
      lifecycle,
      reservations,
      evictor,
      vain,
    });
    this.#context = context;
    this.#lifecycle = lifecycle;
    this.#reservations = reservations;
    this.#upkeep = upkeep;
    this.#quarantine = quarantine;
    this.#gangEvents = gangEvents;
    this.#workerEvents = new WorkerEvents({
      context,
      lifecycle,
      gangEvents,
      reservations,
      upkeep,
    });
    this.#pass = new PlacingPass({
      context,
      placer,
      evictor,
      vain,
      reservations,
    });
    this.#jobEvents = new JobEvents({
      context,
      lifecycle,
      reservations,
      upkeep,
      pass: this.#pass,
    });
  }

  /**
   * Takes over from an earlier leader. Nothing starts until every declared
   * worker has joined or `recoverUntilMs` has come.
   */
  restore(records: readonly JobRecord[], options: RestoreOptions): void {
    this.#context.nowMs = options.atMs;
    this.#context.isRecovering = true;
    this.#context.returnedAtMs = options.returnedAtMs;
    this.#recovery = new Recovery({
      context: this.#context,
      lifecycle: this.#lifecycle,
      gangEvents: this.#gangEvents,
      workerEvents: this.#workerEvents,
      recoverUntilMs: options.recoverUntilMs,
    });
    for (const record of records) {
      const order = this.#jobEvents.nextOrder();
      const job = this.#recovery.take(record, { order });
      this.#context.jobs.set(record.specification.jobId, job);
    }
  }

  /** Takes an event in; returns what is to be done about it, in order. */
  handle(event: SchedulerEvent): readonly SchedulerDecision[] {
    const context = this.#context;
    context.decisions = [];
    context.nowMs = Math.max(context.nowMs, event.atMs);
    this.#dispatch(event);
    return context.decisions;
  }

  /** One job, or undefined when it isn't known, or no longer. */
  jobView(jobId: JobId): JobView | undefined {
    const job = this.#context.jobs.get(jobId);
    return job === undefined ? undefined : jobViewOf(job, this.#context);
  }

  /** Every job that is known, ended ones included. */
  jobs(): JobView[] {
    return [...this.#context.jobs.values()]
      .map((job) => jobViewOf(job, this.#context));
  }

  workers(): WorkerView[] {
    return [...this.#context.index.workers.values()].map(workerViewOf);
  }

  metrics(): SchedulerMetrics {
    return metricsOf(this.#context, { reservations: this.#reservations.size });
  }

  /** Whether a new leader is still learning what runs. */
  get isRecovering(): boolean {
    return this.#context.isRecovering;
  }

  /** What is to be kept of a job, so that another leader can take over. */
  jobRecord(jobId: JobId): JobRecord | undefined {
    const job = this.#context.jobs.get(jobId);
    return job === undefined ? undefined : recordOf(job);
  }

  /** What is to be kept of every job. */
  jobRecords(): JobRecord[] {
    return [...this.#context.jobs.values()].map(recordOf);
  }

  /** Everything that should hold and doesn't; slow, for tests. */
  findBrokenInvariants(): string[] {
    return findBrokenInvariants(this.#context, {
      quarantine: this.#quarantine,
    });
  }

  #dispatch(event: SchedulerEvent): void {
    switch (event.kind) {
      case "configurationChanged":
        this.#jobEvents.configurationChanged(event.configuration);
        return;
      case "startPermissionExtended":
        this.#jobEvents.permissionExtended(event.permittedUntilMs);
        return;
      case "workerJoined": {
        const worker = this.#workerEvents.joined(event.worker, event.running);
        this.#recovery?.report(worker, event.running);
        return;
      }
      case "workerUsageReported":
        this.#gangEvents.usageReported(event);
        return;
      case "workerLeaving":
      case "workerLost":
        this.#workerOut(event.workerId, event.kind);
        return;
      case "jobSubmitted":
        this.#jobEvents.submitted(event);
        return;
      case "jobCancelled":
        if (this.#recovery?.cancel(event.jobId) !== true) {
          this.#jobEvents.cancelled(event.jobId);
        }
        return;
      case "gangStarted":
        this.#gangEvents.started(event);
        return;
      case "gangStartFailed":
        this.#recovery?.attemptGone(event);
        this.#gangEvents.startFailed(event);
        return;
      case "taskEnded":
        this.#recovery?.taskEnded(event);
        this.#gangEvents.taskEnded(event);
        return;
      case "gangStopped":
        this.#recovery?.attemptGone(event);
        this.#gangEvents.stopped(event);
        return;
      case "clockTicked":
        this.#tick();
        return;
    }
  }

  #workerOut(
    workerId: string,
    kind: "workerLeaving" | "workerLost",
  ): void {
    const worker = this.#context.index.workers.get(workerId);
    if (worker === undefined) {
      return;
    }
    if (kind === "workerLeaving") {
      this.#workerEvents.leaving(worker);
      return;
    }
    this.#recovery?.workerLost(worker);
    this.#workerEvents.lost(worker);
  }

  #tick(): void {
    this.#finishRecovery();
    this.#runDue();
    this.#upkeep.run();
    this.#upkeep.promoteChanged();
    this.#pass.run();
  }

  #finishRecovery(): void {
    if (this.#recovery?.isDone() === true) {
      const recovery = this.#recovery;
      this.#recovery = undefined;
      recovery.finish();
      this.#jobEvents.recovered();
    }
  }

  #runDue(): void {
    const { due, nowMs } = this.#context;
    for (
      let next = due.peek();
      next !== undefined && next.atMs <= nowMs;
      next = due.peek()
    ) {
      due.pop();
      next.action();
    }
  }
}
