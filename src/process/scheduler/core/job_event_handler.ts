/**
 * Handles submissions and cancellations of jobs, and configuration changes.
 *
 * @module
 */

import type { JobId } from "../../../base/identity.ts";
import type { ConfigurationVersion } from "../../../version/configuration_version.ts";
import { refusalOf } from "./admission.ts";
import { type CoreContext, URGENT_RANK } from "./core_context.ts";
import type { GangLifecycle } from "./gang_lifecycle.ts";
import type { GuaranteeReconciler } from "./guarantee_reconciler.ts";
import { isLive, JobPhase, type JobState, newJobState } from "./job_state.ts";
import type { PlacementPass } from "./placement_pass.ts";
import { Policy } from "./policy.ts";
import type { ReservationManager } from "./reservation_manager.ts";
import { JobOutcome } from "./scheduler_decision.ts";
import type { JobSubmitted } from "./scheduler_event.ts";

/** Gangs that can't be checkpointed run on for this fraction of a drain. */
const UNCHECKPOINTED_DRAIN_FRACTION = 0.8;

/** Handles events about jobs and the configuration. */
export class JobEventHandler {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #reservations: ReservationManager;
  readonly #reconciler: GuaranteeReconciler;
  readonly #pass: PlacementPass;
  #order = 0;

  constructor(
    options: {
      context: CoreContext;
      lifecycle: GangLifecycle;
      reservations: ReservationManager;
      reconciler: GuaranteeReconciler;
      pass: PlacementPass;
    },
  ) {
    this.#context = options.context;
    this.#lifecycle = options.lifecycle;
    this.#reservations = options.reservations;
    this.#reconciler = options.reconciler;
    this.#pass = options.pass;
  }

  nextOrder(): number {
    this.#order += 1;
    return this.#order;
  }

  /**
   * Accepts, refuses or ends a new job. A known one is left unchanged unless
   * it ended here and was transferred back.
   */
  submitted(event: JobSubmitted): void {
    const context = this.#context;
    const specification = event.job;
    const known = context.jobs.get(specification.jobId);
    const isTransferredBack = event.isReturned === true &&
      known?.phase === JobPhase.ended;
    if (known !== undefined && !isTransferredBack) {
      return;
    }
    const job = newJobState(specification, {
      submittedAtMs: context.nowMs,
      order: this.nextOrder(),
    });
    job.attempt = event.attemptsUsed ?? 0;
    context.jobs.set(specification.jobId, job);
    const { deadlineMs } = specification;
    if (deadlineMs !== undefined && deadlineMs <= context.nowMs) {
      this.#lifecycle.end(job, JobOutcome.deadlinePassed);
      return;
    }
    const account = context.ledger.account(specification.clientAccount);
    const refusal = refusalOf(specification, {
      policy: context.policy,
      dataCentre: context.dataCentre,
      waitingJobs: account.waitingJobs,
    });
    if (refusal !== undefined) {
      this.#lifecycle.end(job, JobOutcome.refused, refusal);
      return;
    }
    this.#accept(job);
  }

  cancelled(jobId: JobId): void {
    const job = this.#context.jobs.get(jobId);
    if (job !== undefined) {
      this.#terminate(job, { reason: "cancelled", outcome: "cancelled" });
    }
  }

  configurationChanged(configuration: ConfigurationVersion): void {
    const context = this.#context;
    const before = context.policy;
    if (configuration.version < before.version) {
      return;
    }
    context.policy = new Policy({
      configuration,
      dataCentre: context.dataCentre,
    });
    context.guarantees.configure(configuration.document, context.dataCentre);
    this.#reconciler.reconcile();
    this.#requeueChanged(before);
    const wasOut = before.section?.status === "out";
    if (context.policy.acceptsNewWork) {
      context.returnedAtMs = wasOut ? context.nowMs : context.returnedAtMs;
    } else {
      context.returnedAtMs = undefined;
      this.#drain();
    }
    context.recordFreedCapacity();
  }

  permissionExtended(permittedUntilMs: number): void {
    const context = this.#context;
    context.permittedUntilMs = Math.max(
      context.permittedUntilMs,
      permittedUntilMs,
    );
    context.isPlacementDue ||= context.queue.size > 0 ||
      this.#reservations.size > 0;
  }

  /** Resumes normal operation after a recovery. */
  recovered(): void {
    for (const job of this.#context.jobs.values()) {
      this.#scheduleDeadline(job);
    }
    if (this.#context.policy.section?.status === "out") {
      this.#drain();
    }
    for (const clientAccount of this.#context.ledger.accounts().keys()) {
      this.#reconciler.promote(clientAccount);
    }
  }

  #accept(job: JobState): void {
    const context = this.#context;
    context.ledger.setWaiting(job, true);
    if (context.mutations.has("forgetsQueuedJobs") && job.order % 5 === 0) {
      return;
    }
    context.enqueue(job);
    this.#scheduleDeadline(job);
    if (job.rank === URGENT_RANK) {
      this.#reconciler.reconcile();
      this.#pass.runFor(job);
    }
    const reason = context.waitReasonOf(job);
    if (job.phase === JobPhase.queued && reason !== undefined) {
      job.waitReason = reason;
      const { jobId } = job.specification;
      context.emit({ kind: "jobWaits", jobId, reason });
    }
  }

  #scheduleDeadline(job: JobState): void {
    const { deadlineMs, jobId } = job.specification;
    if (deadlineMs === undefined || job.phase === JobPhase.ended) {
      return;
    }
    this.#context.scheduleForJob(deadlineMs, jobId, (late) => {
      if (late.specification.deadlineMs === deadlineMs) {
        this.#terminate(late, {
          reason: "deadlinePassed",
          outcome: "deadlinePassed",
        });
      }
    });
  }

  #terminate(
    job: JobState,
    options: {
      reason: "cancelled" | "deadlinePassed";
      outcome: "cancelled" | "deadlinePassed";
    },
  ): void {
    if (job.phase === JobPhase.ended) {
      return;
    }
    if (isLive(job)) {
      this.#lifecycle.stop(job, options);
      return;
    }
    if (job.reservation !== undefined) {
      this.#reservations.close(job.reservation);
    }
    this.#lifecycle.end(job, options.outcome);
  }

  /** Queues jobs again whose job class has changed its rank. */
  #requeueChanged(before: Policy): void {
    const { policy, queue } = this.#context;
    const changed: JobState[] = [];
    for (const group of queue.groups()) {
      for (const job of group.jobs) {
        const name = job.specification.jobClass;
        if (before.jobClass(name).rank !== policy.jobClass(name).rank) {
          changed.push(job);
        }
      }
    }
    for (const job of changed) {
      queue.remove(job);
      this.#context.enqueue(job);
    }
  }

  /** Cancels reservations, and stops all gangs within the drain time. */
  #drain(): void {
    const { policy, ledger } = this.#context;
    const drainMs = policy.section?.drainMs ?? 0;
    this.#reservations.cancelAll();
    for (const account of ledger.accounts().values()) {
      for (const job of [...account.liveJobs]) {
        this.#drainGang(job, drainMs);
      }
    }
  }

  #drainGang(job: JobState, drainMs: number): void {
    const { nowMs } = this.#context;
    const isStopDelayed = job.phase === JobPhase.running &&
      !job.specification.canCheckpoint;
    const stop = () =>
      this.#lifecycle.stop(job, {
        reason: "drained",
        checkpointDeadlineMs: nowMs + drainMs,
      });
    if (!isStopDelayed) {
      stop();
      return;
    }
    const attempt = job.attempt;
    this.#context.schedule(
      nowMs + drainMs * UNCHECKPOINTED_DRAIN_FRACTION,
      () => {
        if (job.attempt === attempt && !this.#context.policy.acceptsNewWork) {
          stop();
        }
      },
    );
  }
}
