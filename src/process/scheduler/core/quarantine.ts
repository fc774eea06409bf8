/**
 * Distinguishes faulty workers from faulty jobs, and withholds work from faulty
 * workers until a probe succeeds.
 *
 * @module
 */

import type { JobId, WorkerId } from "../../../base/identity.ts";
import type { CoreContext } from "./core_context.ts";
import { JobPhase, type JobState } from "./job_state.ts";
import { type WorkerState, WorkerStatus } from "./worker_state.ts";

/**
 * Number of different jobs that must fail on a worker, without a success in
 * between, to quarantine it.
 */
const FAILED_JOBS_LIMIT = 3;
/**
 * Number of workers with a success on which a job must fail to be considered
 * faulty itself.
 */
const GOOD_WORKERS_LIMIT = 2;
/** Largest fraction of the workers in quarantine; one is always allowed. */
const QUARANTINED_FRACTION = 0.1;
/** Delay before the first probe; doubled for each further one. */
const FIRST_PROBE_DELAY_MS = 60_000;
const PROBE_DELAY_LIMIT_MS = 3_600_000;

interface Evidence {
  readonly failedJobs: Set<JobId>;
  hasSucceeded: boolean;
  /** Quarantines since the last success on the worker. */
  quarantines: number;
}

/** The failures and successes on each worker. */
export class Quarantine {
  readonly #context: CoreContext;
  readonly #onQuarantined: (worker: WorkerState) => void;
  readonly #evidence = new Map<WorkerId, Evidence>();

  constructor(
    options: {
      context: CoreContext;
      /** Called when a worker is quarantined. */
      onQuarantined: (worker: WorkerState) => void;
    },
  ) {
    this.#context = options.context;
    this.#onQuarantined = options.onQuarantined;
  }

  /** The highest `limit` at which a worker was quarantined. */
  peakLimit = 1;

  /** Largest number of workers that may be in quarantine. */
  get limit(): number {
    const workers = this.#context.index.workers.size;
    return Math.max(1, Math.floor(workers * QUARANTINED_FRACTION));
  }

  count(): number {
    let count = 0;
    for (const worker of this.#context.index.workers.values()) {
      count += isQuarantined(worker) ? 1 : 0;
    }
    return count;
  }

  /** Records that a task or a start of the job failed on the worker. */
  recordFailure(worker: WorkerState, job: JobState): void {
    job.failedOn.add(worker.workerId);
    if (this.#isFaultyJob(job)) {
      this.#clearEvidenceOf(job);
      return;
    }
    const evidence = this.#evidenceOn(worker.workerId);
    evidence.failedJobs.add(job.specification.jobId);
    const isFaulty = worker.status === WorkerStatus.probing ||
      evidence.failedJobs.size >= FAILED_JOBS_LIMIT;
    if (isFaulty) {
      this.#quarantine(worker, evidence);
    }
  }

  /** Records that a task succeeded on the worker, which ends a quarantine. */
  recordSuccess(worker: WorkerState): void {
    const evidence = this.#evidenceOn(worker.workerId);
    evidence.failedJobs.clear();
    evidence.hasSucceeded = true;
    evidence.quarantines = 0;
    if (isQuarantined(worker)) {
      worker.status = WorkerStatus.up;
      this.#context.index.refresh(worker);
      this.#context.guarantees.handleWorkerAvailable();
      this.#context.recordFreedCapacity();
      this.#context.emit({
        kind: "releaseWorker",
        workerId: worker.workerId,
      });
    }
  }

  #quarantine(worker: WorkerState, evidence: Evidence): void {
    const wasQuarantined = isQuarantined(worker);
    if (worker.status === WorkerStatus.quarantined) {
      return;
    }
    if (!wasQuarantined && this.count() >= this.limit) {
      return;
    }
    if (worker.status === WorkerStatus.leaving) {
      return;
    }
    const delayMs = Math.min(
      PROBE_DELAY_LIMIT_MS,
      FIRST_PROBE_DELAY_MS * 2 ** evidence.quarantines,
    );
    evidence.quarantines += 1;
    const probeAtMs = this.#context.nowMs + delayMs;
    worker.status = WorkerStatus.quarantined;
    this.peakLimit = Math.max(this.peakLimit, this.limit);
    this.#discountFailures(evidence);
    this.#context.emit({
      kind: "quarantineWorker",
      workerId: worker.workerId,
      probeAtMs,
    });
    this.#context.schedule(probeAtMs, () => this.#probe(worker));
    this.#onQuarantined(worker);
  }

  /** Allows one gang at a time on the worker. */
  #probe(worker: WorkerState): void {
    const isKnown = this.#context.index.workers.get(worker.workerId) === worker;
    if (isKnown && worker.status === WorkerStatus.quarantined) {
      worker.status = WorkerStatus.probing;
      this.#context.index.refresh(worker);
      this.#context.recordFreedCapacity();
    }
  }

  /** Subtracts the failures on a faulty worker from those of its jobs. */
  #discountFailures(evidence: Evidence): void {
    for (const jobId of evidence.failedJobs) {
      const job = this.#context.jobs.get(jobId);
      if (job !== undefined && job.phase !== JobPhase.ended) {
        job.failures = Math.max(0, job.failures - 1);
      }
    }
    evidence.failedJobs.clear();
  }

  #isFaultyJob(job: JobState): boolean {
    let goodWorkers = 0;
    for (const workerId of job.failedOn) {
      goodWorkers += this.#evidenceOn(workerId).hasSucceeded ? 1 : 0;
    }
    return goodWorkers >= GOOD_WORKERS_LIMIT;
  }

  #clearEvidenceOf(job: JobState): void {
    for (const workerId of job.failedOn) {
      this.#evidenceOn(workerId).failedJobs.delete(job.specification.jobId);
    }
  }

  #evidenceOn(workerId: WorkerId): Evidence {
    let evidence = this.#evidence.get(workerId);
    if (evidence === undefined) {
      evidence = { failedJobs: new Set(), hasSucceeded: false, quarantines: 0 };
      this.#evidence.set(workerId, evidence);
    }
    return evidence;
  }
}

export function isQuarantined(worker: WorkerState): boolean {
  return worker.status === WorkerStatus.quarantined ||
    worker.status === WorkerStatus.probing;
}
