/**
 * Tells a bad worker from a bad job, and keeps bad workers out of use until a
 * probe shows that they work.
 *
 * @module
 */

import type { JobId, WorkerId } from "../../../base/identity.ts";
import type { CoreContext } from "./core_context.ts";
import { JobPhase, type JobState } from "./job_state.ts";
import { type WorkerState, WorkerStatus } from "./worker_state.ts";

/** So many different jobs must fail on a worker without one success. */
const FAILED_JOBS_LIMIT = 3;
/** A job that failed on so many good workers is at fault itself. */
const GOOD_WORKERS_LIMIT = 2;
/** Most of the workers that may be in quarantine at once. */
const QUARANTINED_FRACTION = 0.1;
/** When the first probe follows; each further one waits twice as long. */
const FIRST_PROBE_MS = 60_000;
const LAST_PROBE_MS = 3_600_000;

interface Evidence {
  readonly failedJobs: Set<JobId>;
  hasSucceeded: boolean;
  /** How often it was quarantined since it last worked. */
  quarantines: number;
}

/** The evidence about workers. */
export class Quarantine {
  readonly #context: CoreContext;
  readonly #onOut: (worker: WorkerState) => void;
  readonly #evidence = new Map<WorkerId, Evidence>();

  constructor(
    options: {
      context: CoreContext;
      /** Called when a worker goes out of use. */
      onOut: (worker: WorkerState) => void;
    },
  ) {
    this.#context = options.context;
    this.#onOut = options.onOut;
  }

  /** The highest that the limit was when a worker went out of use. */
  peakLimit = 1;

  /** Most workers that may be in quarantine at once. */
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

  /** Takes in that a job's task failed on the worker. */
  noteFailure(worker: WorkerState, job: JobState): void {
    job.failedOn.add(worker.workerId);
    if (this.#isBadJob(job)) {
      this.#absolve(job);
      return;
    }
    const evidence = this.#of(worker.workerId);
    evidence.failedJobs.add(job.specification.jobId);
    const isBad = worker.status === WorkerStatus.probing ||
      evidence.failedJobs.size >= FAILED_JOBS_LIMIT;
    if (isBad) {
      this.#quarantine(worker, evidence);
    }
  }

  /** Takes in that a job's task succeeded on the worker. */
  noteSuccess(worker: WorkerState): void {
    const evidence = this.#of(worker.workerId);
    evidence.failedJobs.clear();
    evidence.hasSucceeded = true;
    evidence.quarantines = 0;
    if (isQuarantined(worker)) {
      worker.status = WorkerStatus.up;
      this.#context.index.refresh(worker);
      this.#context.cells.workerCame();
      this.#context.roomFreed();
      this.#context.decide({
        kind: "releaseWorker",
        workerId: worker.workerId,
      });
    }
  }

  #quarantine(worker: WorkerState, evidence: Evidence): void {
    const isKnown = isQuarantined(worker);
    if (worker.status === WorkerStatus.quarantined) {
      return;
    }
    if (!isKnown && this.count() >= this.limit) {
      return;
    }
    if (worker.status === WorkerStatus.leaving) {
      return;
    }
    const delayMs = Math.min(
      LAST_PROBE_MS,
      FIRST_PROBE_MS * 2 ** evidence.quarantines,
    );
    evidence.quarantines += 1;
    const probeAtMs = this.#context.nowMs + delayMs;
    worker.status = WorkerStatus.quarantined;
    this.peakLimit = Math.max(this.peakLimit, this.limit);
    this.#forgiveJobs(evidence);
    this.#context.decide({
      kind: "quarantineWorker",
      workerId: worker.workerId,
      probeAtMs,
    });
    this.#context.at(probeAtMs, () => this.#probe(worker));
    this.#onOut(worker);
  }

  /** Lets one gang at a time onto the worker. */
  #probe(worker: WorkerState): void {
    const isKnown = this.#context.index.workers.get(worker.workerId) === worker;
    if (isKnown && worker.status === WorkerStatus.quarantined) {
      worker.status = WorkerStatus.probing;
      this.#context.index.refresh(worker);
      this.#context.roomFreed();
    }
  }

  /** Failures on a bad worker don't count against the jobs. */
  #forgiveJobs(evidence: Evidence): void {
    for (const jobId of evidence.failedJobs) {
      const job = this.#context.jobs.get(jobId);
      if (job !== undefined && job.phase !== JobPhase.ended) {
        job.failures = Math.max(0, job.failures - 1);
      }
    }
    evidence.failedJobs.clear();
  }

  #isBadJob(job: JobState): boolean {
    let goodWorkers = 0;
    for (const workerId of job.failedOn) {
      goodWorkers += this.#of(workerId).hasSucceeded ? 1 : 0;
    }
    return goodWorkers >= GOOD_WORKERS_LIMIT;
  }

  #absolve(job: JobState): void {
    for (const workerId of job.failedOn) {
      this.#of(workerId).failedJobs.delete(job.specification.jobId);
    }
  }

  #of(workerId: WorkerId): Evidence {
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
