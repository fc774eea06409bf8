/**
 * What one leader has seen of the workers of each service, and whether that is
 * enough to conclude that a job can't be served.
 *
 * @module
 */

import type { ServiceId } from "../../../base/identity.ts";
import type { WorkerRecord } from "../batch_command.ts";
import type { BatchState } from "../batch_state.ts";
import { isStepDone } from "../job_record.ts";
import type { TaskDemand } from "../job_spec.ts";
import { findUnservable, type PoolEvidence } from "../decisions/servable.ts";

/**
 * Nothing is concluded until this long after the leader began, and after a
 * worker was seen for the first time: at a start workers announce themselves
 * one after the other, several times in this time.
 */
const SETTLING_MS = 5_000;

/**
 * Nothing is concluded while fewer than this share of the workers that were
 * seen are known: the others are lost, and will come back or be replaced.
 */
const KNOWN_SHARE_MIN = 0.5;

/** A worker that has been gone for this long counts no more. */
const RETENTION_MS = 600_000;

/** Maximum number of workers that are remembered. */
const WORKERS_LIMIT = 16_384;

interface SeenWorker {
  readonly record: WorkerRecord;
  readonly seenAtMs: number;
}

/** The workers that a leader has seen, by worker ID. */
export class PoolEvidenceLog {
  readonly #seen = new Map<string, SeenWorker>();
  readonly #grewAtMs = new Map<ServiceId, number>();
  readonly #state: BatchState;
  readonly #beganAtMs: number;

  constructor(options: { state: BatchState; nowMs: number }) {
    this.#state = options.state;
    this.#beganAtMs = options.nowMs;
    this.#observeKnown(options.nowMs);
  }

  /**
   * Records a worker that announced itself. Returns whether it is new or differs
   * in what it may hold, so that earlier evidence is outdated.
   */
  observe(worker: WorkerRecord, nowMs: number): boolean {
    const { id, service, capacity } = worker;
    const earlier = this.#seen.get(id)?.record;
    const isSameService = earlier?.service === service;
    const most = isSameService ? larger(earlier.capacity, capacity) : capacity;
    const hasGrown = !isSameService || !isEqual(most, earlier.capacity) ||
      earlier.labels.join() !== worker.labels.join();
    if (hasGrown) {
      this.#grewAtMs.set(service, nowMs);
    }
    const isNew = earlier === undefined;
    if (isNew && this.#seen.size >= WORKERS_LIMIT) {
      this.#seen.delete(this.#seen.keys().next().value!);
    }
    const record = { ...worker, capacity: most };
    this.#seen.set(id, { record, seenAtMs: nowMs });
    return hasGrown;
  }

  /** The evidence about a service's workers. */
  evidenceOf(service: ServiceId, nowMs: number): PoolEvidence {
    this.#observeKnown(nowMs);
    const workers: WorkerRecord[] = [];
    for (const [id, { record, seenAtMs }] of this.#seen) {
      if (nowMs - seenAtMs > RETENTION_MS) {
        this.#seen.delete(id);
      } else if (record.service === service) {
        workers.push(record);
      }
    }
    const settledAtMs = SETTLING_MS +
      Math.max(this.#beganAtMs, this.#grewAtMs.get(service) ?? -Infinity);
    const known = new Set<string>();
    for (const worker of this.#state.workers.values()) {
      if (worker.service === service) {
        known.add(worker.id);
      }
    }
    const isSettled = nowMs >= settledAtMs && known.size > 0 &&
      known.size >= workers.length * KNOWN_SHARE_MIN;
    let isSufficient: boolean | undefined;
    return {
      workers,
      isSufficient: () =>
        isSufficient ??= isSettled && !this.#isContradicted(service, workers),
    };
  }

  #observeKnown(nowMs: number): void {
    for (const worker of this.#state.workers.values()) {
      this.observe(worker, nowMs);
    }
  }

  /**
   * Whether a step that has started would seem impossible: then workers existed
   * that this leader hasn't seen, lost before it began.
   */
  #isContradicted(
    service: ServiceId,
    workers: readonly WorkerRecord[],
  ): boolean {
    const evidence = { workers, isSufficient: () => true };
    const index = this.#state.inForce?.index;
    for (const job of this.#state.liveJobs.values()) {
      if (
        !job.hasStarted || index?.queueNamed(job.queue)?.service !== service
      ) {
        continue;
      }
      const occurrence = job.occurrences[job.firstOpenOccurrence ?? 0];
      const started = job.spec.steps.filter((_, position) => {
        const record = occurrence?.steps[position];
        return record !== undefined && !isStepDone(record) &&
          record.tasks.some(({ run }) => run > 0);
      });
      const spec = { ...job.spec, steps: started };
      if (findUnservable(spec, evidence) !== undefined) {
        return true;
      }
    }
    return false;
  }
}

function larger(left: TaskDemand, right: TaskDemand): TaskDemand {
  return {
    cpuMilli: Math.max(left.cpuMilli, right.cpuMilli),
    memoryMb: Math.max(left.memoryMb, right.memoryMb),
    accelerators: Math.max(left.accelerators, right.accelerators),
  };
}

function isEqual(left: TaskDemand, right: TaskDemand): boolean {
  return left.cpuMilli === right.cpuMilli &&
    left.memoryMb === right.memoryMb &&
    left.accelerators === right.accelerators;
}
