/**
 * The state of one data centre's scheduler that its managers share.
 *
 * @module
 */

import type {
  ClientAccountId,
  DataCentreId,
  JobId,
} from "../../../base/identity.ts";
import { BinaryHeap } from "./binary_heap.ts";
import { Corrections } from "./corrections.ts";
import { GuaranteeCells } from "./guarantee_cells.ts";
import { JobQueue } from "./job_queue.ts";
import { JobPhase, type JobState } from "./job_state.ts";
import { Ledger } from "./ledger.ts";
import { Policy } from "./policy.ts";
import { RackIndex } from "./rack_index.ts";
import type { SchedulerDecision, WaitReason } from "./scheduler_decision.ts";
import type { WorkerState } from "./worker_state.ts";

/**
 * Deliberate faults, which tests put in to see that the checks notice them.
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
  | "claimsForeignCells"
  | "leavesCellsOnLostWorkers"
  | "forgetsQueuedJobs"
  | "keepsStaleIndex"
  | "evictsGuarantees";

/** The rank of job classes that start at once. */
export const URGENT_RANK = 0;

const MINUTE_MS = 60_000;

/** What falls due at a moment. */
export interface DueAction {
  readonly atMs: number;
  readonly action: () => void;
}

/** What the managers share. */
export class CoreContext {
  readonly dataCentre: DataCentreId;
  readonly mutations: ReadonlySet<Mutation>;
  readonly index: RackIndex;
  readonly ledger: Ledger;
  readonly cells: GuaranteeCells;
  readonly queue = new JobQueue();
  readonly corrections = new Corrections();
  readonly jobs = new Map<JobId, JobState>();
  /** Workers that run an attempt that nobody wants, by attempt. */
  readonly staleWorkers = new Map<string, Set<WorkerState>>();
  readonly due = new BinaryHeap<DueAction>({
    isBefore: (left, right) => left.atMs < right.atMs,
  });
  /** Jobs that have waited long enough for a reservation. */
  readonly aged = new Set<JobState>();
  /** Client accounts whose work on loan may now fit their guarantee. */
  readonly promotable = new Set<ClientAccountId>();
  policy: Policy;
  nowMs = 0;
  permittedUntilMs = -Infinity;
  /** When the data centre was last taken in again; absent for never out. */
  returnedAtMs: number | undefined;
  isRecovering = false;
  /** Whether something changed that may let a waiting job start. */
  isPlacingDue = true;
  /** Whether room came free since shapes were last tried. */
  isRoomFreed = true;
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
    this.cells = new GuaranteeCells({ index: this.index });
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

  decide(decision: SchedulerDecision): void {
    this.decisions.push(decision);
  }

  at(atMs: number, action: () => void): void {
    this.due.push({ atMs, action });
  }

  /**
   * Sets an action about a job. It must not hold on to the job itself, which
   * may end and be forgotten long before.
   */
  atForJob(
    atMs: number,
    jobId: JobId,
    action: (job: JobState) => void,
  ): void {
    this.at(atMs, () => {
      const job = this.jobs.get(jobId);
      if (job !== undefined) {
        action(job);
      }
    });
  }

  /** Forgets an attempt that nobody wants and that a worker ran. */
  dropStale(worker: WorkerState, key: string): void {
    worker.staleAttempts.delete(key);
    const workers = this.staleWorkers.get(key);
    workers?.delete(worker);
    if (workers?.size === 0) {
      this.staleWorkers.delete(key);
    }
  }

  roomFreed(): void {
    this.isPlacingDue = true;
    this.isRoomFreed = true;
  }

  /** Why nothing at all may start now; undefined when starts are allowed. */
  startBarrier(): WaitReason | undefined {
    if (this.isRecovering && !this.mutations.has("startsWhileRecovering")) {
      return "recovering";
    }
    if (!this.policy.isIn && !this.mutations.has("startsWhileOut")) {
      return "dataCentreOut";
    }
    const isPermitted = this.nowMs <= this.permittedUntilMs ||
      this.mutations.has("startsWithoutPermission");
    return isPermitted ? undefined : "startPermission";
  }

  /** Why this job may not start now, whatever room there is. */
  startBarrierFor(job: JobState): WaitReason | undefined {
    return this.startBarrier() ?? this.#returnBarrier(job);
  }

  /** The reason for which a job waits, as of now. */
  waitReasonOf(job: JobState): WaitReason | undefined {
    if (job.phase === JobPhase.ended || job.phase === JobPhase.running) {
      return undefined;
    }
    if (job.phase === JobPhase.starting) {
      return "starting";
    }
    const barrier = this.startBarrier();
    if (barrier !== undefined) {
      return barrier;
    }
    return this.queue.groupOf(job)?.waitReason ?? job.waitReason;
  }

  /** Notes the reason for which a job waits, and tells of a change. */
  setWaitReason(job: JobState, reason: WaitReason): void {
    if (job.waitReason === reason) {
      return;
    }
    job.waitReason = reason;
    this.decide({
      kind: "jobWaits",
      jobId: job.specification.jobId,
      reason,
    });
  }

  /** Whether a job waits for a place, with none reserved for it. */
  isQueued(job: JobState): boolean {
    return job.phase === JobPhase.queued && job.queueGroup !== undefined;
  }

  /** Works out anew what a waiting job needs, and queues it. */
  enqueue(job: JobState): void {
    const { specification } = job;
    const expectation = this.corrections.expect(specification, this.policy);
    job.need = expectation.need;
    job.expectedRunMs = expectation.expectedRunMs;
    job.rank = this.policy.jobClass(specification.jobClass).rank;
    this.queue.add(job);
    this.isPlacingDue = true;
    this.#armAging(job);
  }

  /** Holds work back after a return, but for urgent work. */
  #returnBarrier(job: JobState): WaitReason | undefined {
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

  /** Has the job considered for a reservation once it has waited long. */
  #armAging(job: JobState): void {
    const queuedAtMs = job.queuedAtMs;
    if (job.agingFromMs === queuedAtMs) {
      return;
    }
    job.agingFromMs = queuedAtMs;
    const { reservationAfterMs } = this.policy
      .jobClass(job.specification.jobClass);
    const agedAtMs = queuedAtMs + reservationAfterMs;
    this.atForJob(agedAtMs, job.specification.jobId, (waiting) => {
      const isStillWaiting = waiting.phase === JobPhase.queued &&
        waiting.queuedAtMs === queuedAtMs;
      if (isStillWaiting) {
        this.aged.add(waiting);
        this.isPlacingDue = true;
      }
    });
  }
}
