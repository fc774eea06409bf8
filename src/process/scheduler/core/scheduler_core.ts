/**
 * The scheduler of one data centre. Its decisions depend only on its state and
 * on the events, which carry their own timestamps.
 *
 * @module
 */

import type { DataCentreId, JobId } from "../../../base/identity.ts";
import { CoreContext, type Mutation } from "./core_context.ts";
import { Evictor } from "./evictor.ts";
import { FailedSearchCache } from "./failed_search_cache.ts";
import { GangEventHandler } from "./gang_event_handler.ts";
import { GangLifecycle } from "./gang_lifecycle.ts";
import { GuaranteeReconciler } from "./guarantee_reconciler.ts";
import { findInvariantViolations } from "./invariants.ts";
import { JobEventHandler } from "./job_event_handler.ts";
import { type JobRecord, recordOf } from "./job_record.ts";
import { PlacementPass } from "./placement_pass.ts";
import { Placer } from "./placer.ts";
import { Quarantine } from "./quarantine.ts";
import { Recovery } from "./recovery.ts";
import { ReservationManager } from "./reservation_manager.ts";
import type { SchedulerDecision } from "./scheduler_decision.ts";
import type { SchedulerEvent } from "./scheduler_event.ts";
import {
  type JobView,
  jobViewOf,
  metricsOf,
  type SchedulerMetrics,
  type WorkerView,
  workerViewOf,
} from "./views.ts";
import { WorkerEventHandler } from "./worker_event_handler.ts";

/** Options of {@link SchedulerCore}. */
export interface SchedulerCoreOptions {
  readonly dataCentre: DataCentreId;
  /** @internal */
  readonly mutations?: readonly Mutation[];
}

/** Options of {@link SchedulerCore.restore}. */
export interface RestoreOptions {
  readonly atMs: number;
  /**
   * By when workers that haven't reported have stopped their tasks, because
   * their leases have expired.
   */
  readonly recoverUntilMs: number;
  /** When the data centre last returned from `out` to `in`, if known. */
  readonly returnedAtMs?: number;
}

/** A scheduling policy: this core, or one that the bench compares it with. */
export interface SchedulerPolicy {
  handle(event: SchedulerEvent): readonly SchedulerDecision[];
}

/** The scheduler of one data centre. */
export class SchedulerCore implements SchedulerPolicy {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #reservations: ReservationManager;
  readonly #reconciler: GuaranteeReconciler;
  readonly #quarantine: Quarantine;
  readonly #gangEvents: GangEventHandler;
  readonly #workerEvents: WorkerEventHandler;
  readonly #jobEvents: JobEventHandler;
  readonly #pass: PlacementPass;
  #recovery: Recovery | undefined;

  constructor(options: SchedulerCoreOptions) {
    const context = new CoreContext({
      dataCentre: options.dataCentre,
      mutations: new Set(options.mutations),
    });
    const lifecycle = new GangLifecycle({ context });
    const reservations = new ReservationManager({ context, lifecycle });
    const reconciler = new GuaranteeReconciler({ context, reservations });
    const quarantine = new Quarantine({
      context,
      onQuarantined: (worker) => this.#workerEvents.withdraw(worker),
    });
    const gangEvents = new GangEventHandler({ context, lifecycle, quarantine });
    const failedSearches = new FailedSearchCache();
    const evictor = new Evictor({ context, reservations, failedSearches });
    const placer = new Placer({
      context,
      lifecycle,
      reservations,
      evictor,
      failedSearches,
    });
    this.#context = context;
    this.#lifecycle = lifecycle;
    this.#reservations = reservations;
    this.#reconciler = reconciler;
    this.#quarantine = quarantine;
    this.#gangEvents = gangEvents;
    this.#workerEvents = new WorkerEventHandler({
      context,
      lifecycle,
      gangEvents,
      reservations,
      reconciler,
    });
    this.#pass = new PlacementPass({
      context,
      placer,
      evictor,
      failedSearches,
      reservations,
    });
    this.#jobEvents = new JobEventHandler({
      context,
      lifecycle,
      reservations,
      reconciler,
      pass: this.#pass,
    });
  }

  /**
   * Takes over the jobs of an earlier leader. Nothing starts until every
   * declared worker has joined or `recoverUntilMs` is reached.
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
      const job = this.#recovery.restoreJob(record, { order });
      this.#context.jobs.set(record.specification.jobId, job);
    }
  }

  /** Handles an event; returns the resulting decisions, in order. */
  handle(event: SchedulerEvent): readonly SchedulerDecision[] {
    const context = this.#context;
    context.decisions = [];
    context.nowMs = Math.max(context.nowMs, event.atMs);
    this.#dispatch(event);
    return context.decisions;
  }

  /** One job, or undefined if it is unknown or no longer remembered. */
  jobView(jobId: JobId): JobView | undefined {
    const job = this.#context.jobs.get(jobId);
    return job === undefined ? undefined : jobViewOf(job, this.#context);
  }

  /** Every known job, including ended ones that are still remembered. */
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

  /** Whether this leader is still finding out which gangs run. */
  get isRecovering(): boolean {
    return this.#context.isRecovering;
  }

  /** The record from which another leader can take over a job. */
  jobRecord(jobId: JobId): JobRecord | undefined {
    const job = this.#context.jobs.get(jobId);
    return job === undefined ? undefined : recordOf(job);
  }

  /** The records of all known jobs. */
  jobRecords(): JobRecord[] {
    return [...this.#context.jobs.values()].map(recordOf);
  }

  /** Describes every violated invariant; slow, for tests only. */
  findViolations(): string[] {
    return findInvariantViolations(this.#context, {
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
        this.#recovery?.recordReport(worker, event.running);
        return;
      }
      case "workerUsageReported":
        this.#gangEvents.usageReported(event);
        return;
      case "workerLeaving":
      case "workerLost":
        this.#handleDeparture(event.workerId, event.kind);
        return;
      case "jobSubmitted":
        this.#jobEvents.submitted(event);
        return;
      case "jobCancelled":
        if (this.#recovery?.recordCancellation(event.jobId) !== true) {
          this.#jobEvents.cancelled(event.jobId);
        }
        return;
      case "gangStarted":
        this.#gangEvents.started(event);
        return;
      case "gangStartFailed":
        this.#recovery?.recordReleasedAttempt(event);
        this.#gangEvents.startFailed(event);
        return;
      case "taskEnded":
        this.#recovery?.taskEnded(event);
        this.#gangEvents.taskEnded(event);
        return;
      case "gangStopped":
        this.#recovery?.recordReleasedAttempt(event);
        this.#gangEvents.stopped(event);
        return;
      case "clockTicked":
        this.#tick();
        return;
    }
  }

  #handleDeparture(
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
    this.#runTimers();
    this.#reconciler.reconcile();
    this.#reconciler.promoteChanged();
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

  #runTimers(): void {
    const { timers, nowMs } = this.#context;
    for (
      let next = timers.peek();
      next !== undefined && next.atMs <= nowMs;
      next = timers.peek()
    ) {
      timers.pop();
      next.action();
    }
  }
}
