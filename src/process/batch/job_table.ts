/**
 * The jobs of the replicated state, and the memory that their specifications
 * take.
 *
 * @module
 */

import type { JobId } from "../../base/identity.ts";
import { hasOpenRuns, JobPhase, type JobRecord } from "./job_record.ts";
import { specBytes, withoutTexts } from "./job_spec.ts";

/** The jobs in the order of acceptance. */
export class JobTable {
  readonly #byId = new Map<JobId, JobRecord>();
  /** Derived: jobs that are active or have open runs, the only ones planned. */
  readonly #live = new Map<JobId, JobRecord>();
  /** Derived from the specifications of all jobs. */
  #specBytes = 0;

  constructor(jobs: Iterable<JobRecord> = []) {
    for (const job of jobs) {
      this.add(job);
      this.dropIfFinished(job);
    }
  }

  get byId(): ReadonlyMap<JobId, JobRecord> {
    return this.#byId;
  }

  get live(): ReadonlyMap<JobId, JobRecord> {
    return this.#live;
  }

  /** Estimated heap of the specifications of all jobs, ended ones too. */
  get specBytes(): number {
    return this.#specBytes;
  }

  add(job: JobRecord): void {
    this.#byId.set(job.id, job);
    this.#live.set(job.id, job);
    this.#specBytes += specBytes(job.spec);
  }

  remove(id: JobId): JobRecord | undefined {
    const job = this.#byId.get(id);
    if (job !== undefined) {
      this.#specBytes -= specBytes(job.spec);
      this.#byId.delete(id);
      this.#live.delete(id);
    }
    return job;
  }

  /**
   * Drops a job from the live ones once it is over and has no open runs, and
   * with it the records of its tasks and the texts that only starts need.
   */
  dropIfFinished(job: JobRecord): void {
    if (job.phase === JobPhase.active || hasOpenRuns(job)) {
      return;
    }
    this.#live.delete(job.id);
    job.occurrences.length = 0;
    const spec = withoutTexts(job.spec);
    this.#specBytes += specBytes(spec) - specBytes(job.spec);
    job.spec = spec;
  }
}
