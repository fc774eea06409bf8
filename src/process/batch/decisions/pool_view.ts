/**
 * The planner's view of the workers: their free capacity and their open runs.
 *
 * @module
 */

import type { DataCentreId } from "../../../base/identity.ts";
import type { TaskRef, WorkerKey, WorkerRecord } from "../batch_command.ts";
import type { BatchState } from "../batch_state.ts";
import { isStepDone, type JobRecord, openOccurrences } from "../job_record.ts";
import type { StepSpec, TaskDemand } from "../job_spec.ts";
import { SpeedClass, type WorkerSpeedRecord } from "./worker_speed_class.ts";

/** What the leader knows of a worker beyond the replicated state. */
export interface WorkerCondition {
  /** Whether it answers lease renewals. */
  readonly isReachable: boolean;
  /**
   * Whether it is avoided after failed runs or a report that it is unwell, as long
   * as that isn't so for most workers.
   */
  readonly isSuspect: boolean;
  /** Whether it has just refused a start for lack of capacity. */
  readonly isFull: boolean;
  /** How many more starts it is sent before it confirms earlier ones. */
  readonly startsLeft: number;
}

/** A run that occupies a worker. */
export interface OpenRun {
  readonly job: JobRecord;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
  readonly worker: WorkerKey;
  readonly startedAtMs: number;
}

export function taskRefOf({ job, occurrence, step, index }: OpenRun): TaskRef {
  return { jobId: job.id, occurrence, step, index };
}

/** One worker with its free capacity, from which placement allocates. */
export interface WorkerSlot {
  readonly worker: WorkerRecord;
  readonly key: WorkerKey;
  isUsable: boolean;
  readonly free: { cpuMilli: number; memoryMb: number; accelerators: number };
  /** As in {@link WorkerCondition}; less than 0 after a wide gang. */
  startsLeft: number;
  /** Relative to the service's typical speed; undefined if it isn't slow. */
  readonly slowSpeed: number | undefined;
  /** Its open runs that may be stopped for others. */
  readonly runs: OpenRun[];
}

/** All workers with their free capacity. */
export class PoolView {
  readonly slots: readonly WorkerSlot[];
  readonly #byKey = new Map<WorkerKey, WorkerSlot>();
  readonly #byService = new Map<string, WorkerSlot[]>();
  /** Cache of {@link usableOf}. */
  readonly #usable = new Map<string, WorkerSlot[]>();
  readonly #isStoppable: (run: OpenRun) => boolean;
  #openRuns = 0;
  #stoppableRuns = 0;

  constructor(options: {
    state: BatchState;
    condition: (key: WorkerKey) => WorkerCondition;
    /** Whether some unit may have the run stopped; by default every run. */
    isStoppable?: (run: OpenRun) => boolean;
  }) {
    const { state, condition, isStoppable = () => true } = options;
    this.#isStoppable = isStoppable;
    const suspects = new Set<WorkerSlot>();
    this.slots = [...state.workers.values()].map((worker) => {
      const workerCondition = condition(worker.key);
      const slot = newSlot(worker, {
        condition: workerCondition,
        dataCentresOut: state.dataCentresOut,
        speed: state.workerSpeeds.get(worker.key),
      });
      if (workerCondition.isSuspect) {
        suspects.add(slot);
      }
      return slot;
    });
    for (const slot of this.slots) {
      this.#byKey.set(slot.key, slot);
      const { service } = slot.worker;
      const slots = this.#byService.get(service) ?? [];
      slots.push(slot);
      this.#byService.set(service, slots);
    }
    this.#byService.forEach((slots) => avoidSuspects(slots, suspects));
    for (const job of state.liveJobs.values()) {
      this.#addRuns(job);
    }
  }

  /** How many runs are open on known workers. */
  get openRuns(): number {
    return this.#openRuns;
  }

  /** How many of them were listed as stoppable at first. */
  get stoppableRuns(): number {
    return this.#stoppableRuns;
  }

  slotOf(key: WorkerKey): WorkerSlot | undefined {
    return this.#byKey.get(key);
  }

  ofService(service: string): readonly WorkerSlot[] {
    return this.#byService.get(service) ?? [];
  }

  /** The service's workers on which tasks can be placed. */
  usableOf(service: string): readonly WorkerSlot[] {
    const known = this.#usable.get(service);
    const usable = known ??
      this.ofService(service).filter(({ isUsable }) => isUsable);
    this.#usable.set(service, usable);
    return usable;
  }

  /** Total and free accelerators of the service's usable workers. */
  acceleratorsOf(service: string): { total: number; free: number } {
    const slots = this.usableOf(service);
    let total = 0;
    let free = 0;
    for (const slot of slots) {
      total += slot.worker.capacity.accelerators;
      free += slot.free.accelerators;
    }
    return { total, free };
  }

  /**
   * Frees the capacity of a run that is to stop, so that a unit can be placed.
   */
  release(run: OpenRun): void {
    const slot = this.#byKey.get(run.worker);
    const position = slot?.runs.indexOf(run) ?? -1;
    if (slot !== undefined && position >= 0) {
      slot.runs.splice(position, 1);
      deallocate(slot, run.job.spec.steps[run.step]!.demand);
    }
  }

  /**
   * Allocates again the capacity of a released run, which still occupies it.
   * The run isn't listed again: no other unit can count on its stop.
   */
  reallocate(run: OpenRun): void {
    const slot = this.#byKey.get(run.worker);
    if (slot !== undefined) {
      allocate(slot, run.job.spec.steps[run.step]!.demand);
    }
  }

  /** Lists and allocates a released run again, as if it hadn't been released. */
  undoRelease(run: OpenRun): void {
    this.reallocate(run);
    this.#byKey.get(run.worker)?.runs.push(run);
  }

  #addRuns(job: JobRecord): void {
    for (const [occurrence, { steps }] of openOccurrences(job)) {
      for (const [step, record] of steps.entries()) {
        if (isStepDone(record)) {
          continue;
        }
        for (const [index, task] of record.tasks.entries()) {
          const slot = task.worker && this.#byKey.get(task.worker);
          if (slot) {
            this.#addRun(slot, {
              ...{ job, occurrence, step, index },
              worker: slot.key,
              startedAtMs: task.startedAtMs,
            });
          }
        }
      }
    }
  }

  #addRun(slot: WorkerSlot, run: OpenRun): void {
    this.#openRuns += 1;
    allocate(slot, run.job.spec.steps[run.step]!.demand);
    if (this.#isStoppable(run)) {
      this.#stoppableRuns += 1;
      slot.runs.push(run);
    }
  }
}

/**
 * The largest share of a service's workers that can be avoided as suspect. When
 * runs fail on more of them, the jobs are at fault.
 */
const SUSPECT_SHARE_LIMIT = 0.5;

/** Makes suspect slots of one service unusable, unless that leaves too few. */
function avoidSuspects(
  slots: readonly WorkerSlot[],
  suspects: ReadonlySet<WorkerSlot>,
): void {
  const usable = slots.filter(({ isUsable }) => isUsable);
  const avoided = usable.filter((slot) => suspects.has(slot));
  if (avoided.length <= usable.length * SUSPECT_SHARE_LIMIT) {
    avoided.forEach((slot) => slot.isUsable = false);
  }
}

function newSlot(
  worker: WorkerRecord,
  options: {
    condition: WorkerCondition;
    dataCentresOut: ReadonlySet<DataCentreId>;
    speed: WorkerSpeedRecord | undefined;
  },
): WorkerSlot {
  const { condition, dataCentresOut, speed } = options;
  return {
    worker,
    key: worker.key,
    isUsable: condition.isReachable && !condition.isFull &&
      !worker.isDraining && !dataCentresOut.has(worker.dataCentre),
    free: { ...worker.capacity },
    startsLeft: condition.startsLeft,
    slowSpeed: speed?.speedClass === SpeedClass.slow ? speed.speed : undefined,
    runs: [],
  };
}

/** Subtracts a task's demand from the free capacity. */
export function allocate(slot: WorkerSlot, demand: TaskDemand): void {
  slot.free.cpuMilli -= demand.cpuMilli;
  slot.free.memoryMb -= demand.memoryMb;
  slot.free.accelerators -= demand.accelerators;
}

/** Adds a task's demand to the free capacity. */
export function deallocate(slot: WorkerSlot, demand: TaskDemand): void {
  slot.free.cpuMilli += demand.cpuMilli;
  slot.free.memoryMb += demand.memoryMb;
  slot.free.accelerators += demand.accelerators;
}

/** Whether one task fits into the free capacity. */
export function fits(demand: TaskDemand, free: TaskDemand): boolean {
  return demand.cpuMilli <= free.cpuMilli &&
    demand.memoryMb <= free.memoryMb &&
    demand.accelerators <= free.accelerators;
}

/** How many tasks fit into the free capacity, at most `limit`. */
export function countFitting(
  demand: TaskDemand,
  free: TaskDemand,
  limit: number,
): number {
  return Math.max(
    0,
    Math.min(
      limit,
      quotient(free.cpuMilli, demand.cpuMilli),
      quotient(free.memoryMb, demand.memoryMb),
      quotient(free.accelerators, demand.accelerators),
    ),
  );
}

function quotient(free: number, demand: number): number {
  return demand === 0 ? Infinity : Math.floor(free / demand);
}

/** Whether the worker has the label that the step requires, if any. */
export function isEligible(step: StepSpec, worker: WorkerRecord): boolean {
  return step.requiredLabel === undefined ||
    worker.labels.includes(step.requiredLabel);
}
