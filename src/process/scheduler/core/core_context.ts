/**
 * The state that the components of one data centre's scheduler share.
 *
 * @module
 */

import type {
  ClientAccountId,
  DataCentreId,
  JobId,
} from "../../../base/identity.ts";
import { BinaryHeap } from "./binary_heap.ts";
import { GuaranteeAssignments } from "./guarantee_assignments.ts";
import { JobEstimator } from "./job_estimator.ts";
import { JobQueue } from "./job_queue.ts";
import { JobPhase, type JobState } from "./job_state.ts";
import { Ledger } from "./ledger.ts";
import { Policy } from "./policy.ts";
import { RackIndex } from "./rack_index.ts";
import type { SchedulerDecision, WaitReason } from "./scheduler_decision.ts";
import type { WorkerState } from "./worker_state.ts";

/**
 * Deliberate faults that tests inject to verify that the checks detect them.
 *
 * @internal
 */
export type Mutation =
  | "startsWhileOut"
  | "startsWithoutPermission"
  | "startsWhileRecovering"
  | "overcommitsWorkers"
  | "breaksGangs"
  | "ignoresAdjacency"
  | "claimsForeignGuarantees"
  | "leavesGuaranteesOnLostWorkers"
  | "forgetsQueuedJobs"
  | "keepsStaleIndex"
  | "evictsGuarantees";

/** The rank of urgent jobs, which are placed on submission if possible. */
export const URGENT_RANK = 0;

const MINUTE_MS = 60_000;

/** An action to run at a given time. */
export interface Timer {
  readonly atMs: number;
  readonly action: () => void;
}

/** State and helpers that the components of the core share. */
export class CoreContext {
  readonly dataCentre: DataCentreId;
  readonly mutations: ReadonlySet<Mutation>;
  readonly index: RackIndex;
  readonly ledger: Ledger;
  readonly guarantees: GuaranteeAssignments;
  readonly queue = new JobQueue();
  readonly estimator = new JobEstimator();
  readonly jobs = new Map<JobId, JobState>();
  /** Workers on which a stale attempt may still run, by attempt key. */
  readonly staleWorkers = new Map<string, Set<WorkerState>>();
  readonly timers = new BinaryHeap<Timer>({
    isBefore: (left, right) => left.atMs < right.atMs,
  });
  /** Jobs that have waited long enough to get a draining reservation. */
  readonly agedJobs = new Set<JobState>();
  /** Client accounts whose borrowing gangs may now fit their guarantee. */
  readonly accountsToPromote = new Set<ClientAccountId>();
  policy: Policy;
  nowMs = 0;
  permittedUntilMs = -Infinity;
  /**
   * When the data centre last returned from `out` to `in`; undefined once it
   * may be fully used again, or if it was never out.
   */
  returnedAtMs: number | undefined;
  isRecovering = false;
  /** Whether something changed that may allow a waiting job to start. */
  isPlacementDue = true;
  /** Whether capacity was freed since failed searches were last cleared. */
  isCapacityFreed = true;
  decisions: SchedulerDecision[] = [];

  constructor(
    options: { dataCentre: DataCentreId; mutations: ReadonlySet<Mutation> },
  ) {
    this.dataCentre = options.dataCentre;
    this.mutations = options.mutations;
    this.index = new RackIndex({
      isFrozen: options.mutations.has("keepsStaleIndex"),
    });
    this.ledger = new Ledger({ index: this.index });
    this.guarantees = new GuaranteeAssignments({ index: this.index });
    this.policy = new Policy({
      dataCentre: options.dataCentre,
      configuration: {
        version: 0,
        acceptedAtMs: 0,
        document: {
          formatVersion: 1,
          teams: {},
          clientAccounts: {},
          jobClasses: {},
          dataCentres: {},
          services: {},
        },
      },
    });
  }

  emit(decision: SchedulerDecision): void {
    this.decisions.push(decision);
  }

  schedule(atMs: number, action: () => void): void {
    this.timers.push({ atMs, action });
  }

  /**
   * Schedules an action on a job; it is skipped if the job is forgotten by
   * then. The action must not capture the job, so that an ended job can be
   * garbage-collected before the timer fires.
   */
  scheduleForJob(
    atMs: number,
    jobId: JobId,
    action: (job: JobState) => void,
  ): void {
    this.schedule(atMs, () => {
      const job = this.jobs.get(jobId);
      if (job !== undefined) {
        action(job);
      }
    });
  }

  /** Forgets a stale attempt on one worker. */
  dropStaleAttempt(worker: WorkerState, key: string): void {
    worker.staleAttempts.delete(key);
    const workers = this.staleWorkers.get(key);
    workers?.delete(worker);
    if (workers?.size === 0) {
      this.staleWorkers.delete(key);
    }
  }

  recordFreedCapacity(): void {
    this.isPlacementDue = true;
    this.isCapacityFreed = true;
  }

  /** Why no job may start now; undefined when starts are allowed. */
  startWaitReason(): WaitReason | undefined {
    if (this.isRecovering && !this.mutations.has("startsWhileRecovering")) {
      return "recovering";
    }
    if (!this.policy.acceptsNewWork && !this.mutations.has("startsWhileOut")) {
      return "dataCentreOut";
    }
    const isPermitted = this.nowMs <= this.permittedUntilMs ||
      this.mutations.has("startsWithoutPermission");
    return isPermitted ? undefined : "startPermission";
  }

  /** Why this job may not start now, regardless of free capacity. */
  startWaitReasonFor(job: JobState): WaitReason | undefined {
    return this.startWaitReason() ?? this.#returnWaitReason(job);
  }

  /** Why a job waits now; undefined if it runs or has ended. */
  waitReasonOf(job: JobState): WaitReason | undefined {
    if (job.phase === JobPhase.ended || job.phase === JobPhase.running) {
      return undefined;
    }
    if (job.phase === JobPhase.starting) {
      return "starting";
    }
    const startReason = this.startWaitReason();
    if (startReason !== undefined) {
      return startReason;
    }
    return this.queue.groupOf(job)?.waitReason ?? job.waitReason;
  }

  /** Records why a job waits; emits a decision if the reason changed. */
  setWaitReason(job: JobState, reason: WaitReason): void {
    if (job.waitReason === reason) {
      return;
    }
    job.waitReason = reason;
    this.emit({
      kind: "jobWaits",
      jobId: job.specification.jobId,
      reason,
    });
  }

  /** Whether a job is in the queue, without a reservation. */
  isQueued(job: JobState): boolean {
    return job.phase === JobPhase.queued && job.queueGroup !== undefined;
  }

  /** Queues a waiting job with a new estimate of what it needs. */
  enqueue(job: JobState): void {
    const { specification } = job;
    const estimate = this.estimator.estimate(specification, this.policy);
    job.need = estimate.need;
    job.expectedRunMs = estimate.expectedRunMs;
    job.rank = this.policy.jobClass(specification.jobClass).rank;
    this.queue.add(job);
    this.isPlacementDue = true;
    this.#scheduleAging(job);
  }

  /**
   * After a return, limits the accelerators in use to a share that grows with
   * time. Urgent jobs are exempt.
   */
  #returnWaitReason(job: JobState): WaitReason | undefined {
    if (this.returnedAtMs === undefined || job.rank === URGENT_RANK) {
      return undefined;
    }
    const minutes = (this.nowMs - this.returnedAtMs) / MINUTE_MS;
    const fraction = minutes *
      (this.policy.section?.returnFractionPerMinute ?? 1);
    if (fraction >= 1) {
      this.returnedAtMs = undefined;
      return undefined;
    }
    const allowed = fraction * this.policy.declaredAccelerators;
    return this.ledger.liveAccelerators < allowed ? undefined : "returning";
  }

  /** Schedules the job's ageing, after which it may get a reservation. */
  #scheduleAging(job: JobState): void {
    const queuedAtMs = job.queuedAtMs;
    if (job.agingFromMs === queuedAtMs) {
      return;
    }
    job.agingFromMs = queuedAtMs;
    const { reservationAfterMs } = this.policy
      .jobClass(job.specification.jobClass);
    const agedAtMs = queuedAtMs + reservationAfterMs;
    this.scheduleForJob(agedAtMs, job.specification.jobId, (waiting) => {
      const isStillWaiting = waiting.phase === JobPhase.queued &&
        waiting.queuedAtMs === queuedAtMs;
      if (isStillWaiting) {
        this.agedJobs.add(waiting);
        this.isPlacementDue = true;
      }
    });
  }
}
