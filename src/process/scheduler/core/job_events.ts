/**
 * Jobs that are submitted and cancelled, and configurations that change.
 *
 * @module
 */

import type { JobId } from "../../../base/identity.ts";
import type { ConfigurationVersion } from "../../../version/configuration_version.ts";
import { refusalOf } from "./admission.ts";
import type { CellUpkeep } from "./cell_upkeep.ts";
import { type CoreContext, URGENT_RANK } from "./core_context.ts";
import type { GangLifecycle } from "./gang_lifecycle.ts";
import { isLive, JobPhase, type JobState, newJobState } from "./job_state.ts";
import type { PlacingPass } from "./placing_pass.ts";
import { Policy } from "./policy.ts";
import type { ReservationManager } from "./reservation_manager.ts";
import { JobOutcome } from "./scheduler_decision.ts";
import type { JobSubmitted } from "./scheduler_event.ts";

/** Work that can't checkpoint may run on for this part of the drain time. */
const UNCHECKPOINTED_DRAIN_FRACTION = 0.8;

/** The handling of jobs and configurations. */
export class JobEvents {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #reservations: ReservationManager;
  readonly #upkeep: CellUpkeep;
  readonly #pass: PlacingPass;
  #order = 0;

  constructor(
    options: {
      context: CoreContext;
      lifecycle: GangLifecycle;
      reservations: ReservationManager;
      upkeep: CellUpkeep;
      pass: PlacingPass;
    },
  ) {
    this.#context = options.context;
    this.#lifecycle = options.lifecycle;
    this.#reservations = options.reservations;
    this.#upkeep = options.upkeep;
    this.#pass = options.pass;
  }

  nextOrder(): number {
    this.#order += 1;
    return this.#order;
  }

  /** Takes a job in; one that is known already is left as it is. */
  submitted(event: JobSubmitted): void {
    const context = this.#context;
    const specification = event.job;
    const known = context.jobs.get(specification.jobId);
    const isBack = event.isReturned === true &&
      known?.phase === JobPhase.ended;
    if (known !== undefined && !isBack) {
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
      this.#giveUp(job, { reason: "cancelled", outcome: "cancelled" });
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
    context.cells.configure(configuration.document, context.dataCentre);
    this.#upkeep.run();
    this.#requeueChanged(before);
    const wasOut = before.section?.status === "out";
    if (context.policy.isIn) {
      context.returnedAtMs = wasOut ? context.nowMs : context.returnedAtMs;
    } else {
      context.returnedAtMs = undefined;
      this.#drain();
    }
    context.roomFreed();
  }

  permissionExtended(permittedUntilMs: number): void {
    const context = this.#context;
    context.permittedUntilMs = Math.max(
      context.permittedUntilMs,
      permittedUntilMs,
    );
    context.isPlacingDue ||= context.queue.size > 0 ||
      this.#reservations.size > 0;
  }

  /** Goes on after a recovery. */
  recovered(): void {
    for (const job of this.#context.jobs.values()) {
      this.#armDeadline(job);
    }
    if (this.#context.policy.section?.status === "out") {
      this.#drain();
    }
    for (const clientAccount of this.#context.ledger.accounts().keys()) {
      this.#upkeep.promote(clientAccount);
    }
  }

  #accept(job: JobState): void {
    const context = this.#context;
    context.ledger.setWaiting(job, true);
    if (context.mutations.has("forgetsQueuedJobs") && job.order % 5 === 0) {
      return;
    }
    context.enqueue(job);
    this.#armDeadline(job);
    if (job.rank === URGENT_RANK) {
      this.#upkeep.run();
      this.#pass.runFor(job);
    }
    const reason = context.waitReasonOf(job);
    if (job.phase === JobPhase.queued && reason !== undefined) {
      job.waitReason = reason;
      const { jobId } = job.specification;
      context.decide({ kind: "jobWaits", jobId, reason });
    }
  }

  #armDeadline(job: JobState): void {
    const { deadlineMs, jobId } = job.specification;
    if (deadlineMs === undefined || job.phase === JobPhase.ended) {
      return;
    }
    this.#context.atForJob(deadlineMs, jobId, (late) => {
      if (late.specification.deadlineMs === deadlineMs) {
        this.#giveUp(late, {
          reason: "deadlinePassed",
          outcome: "deadlinePassed",
        });
      }
    });
  }

  #giveUp(
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
      this.#reservations.drop(job.reservation);
    }
    this.#lifecycle.end(job, options.outcome);
  }

  /** Queues jobs anew whose class has changed its rank. */
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

  /** Stops all that runs, so that it is gone within the drain time. */
  #drain(): void {
    const { policy, ledger } = this.#context;
    const drainMs = policy.section?.drainMs ?? 0;
    this.#reservations.cancelAll();
    for (const account of ledger.accounts().values()) {
      for (const job of [...account.live]) {
        this.#drainGang(job, drainMs);
      }
    }
  }

  #drainGang(job: JobState, drainMs: number): void {
    const { nowMs } = this.#context;
    const isLetRun = job.phase === JobPhase.running &&
      !job.specification.canCheckpoint;
    const stop = () =>
      this.#lifecycle.stop(job, {
        reason: "drained",
        checkpointDeadlineMs: nowMs + drainMs,
      });
    if (!isLetRun) {
      stop();
      return;
    }
    const attempt = job.attempt;
    this.#context.at(nowMs + drainMs * UNCHECKPOINTED_DRAIN_FRACTION, () => {
      if (job.attempt === attempt && !this.#context.policy.isIn) {
        stop();
      }
    });
  }
}
