/**
 * The runs that the leader has to see to: each is to be started and confirmed,
 * or stopped, until its end is stored.
 *
 * @module
 */

import type { JobId } from "../../../base/identity.ts";
import {
  type BatchItem,
  type TaskRef,
  type WorkerKey,
} from "../batch_command.ts";
import type { BatchState } from "../batch_state.ts";

/** Why a run is to be stopped. */
export const StopReason = {
  /** Its job was cancelled, or has failed or completed. */
  jobOver: "jobOver",
  /** More urgent work needs the room. */
  preempted: "preempted",
  /** Its gang isn't whole. */
  gangBroken: "gangBroken",
  /** The life of the worker that it was for is over. */
  lifeOver: "lifeOver",
} as const;

/** One of the values of {@link StopReason}. */
export type StopReason = typeof StopReason[keyof typeof StopReason];

/** One open run, as the leader sees it. */
export interface OpenRunState {
  readonly task: TaskRef;
  readonly run: number;
  readonly worker: WorkerKey;
  /** The task's name within this process, and the run's. */
  readonly key: string;
  readonly name: string;
  /**
   * The life of the worker that may have the run: an order on its way when a
   * life ends may reach the next one under the same name. Changed by
   * {@link RunTable.moveTo} only.
   */
  holder: WorkerKey;
  /** When this leader learned of the run. */
  readonly sinceMs: number;
  /** When the worker was known to have it; undefined before. */
  confirmedAtMs: number | undefined;
  /** The last checkpoint that a report of the run listed; empty for none. */
  checkpoint: string;
  stopReason: StopReason | undefined;
  /** When the worker acknowledged the stop. */
  stoppedAtMs: number | undefined;
  /** Calls that are on their way. */
  callsOpen: number;
  /** How often the start was sent, by this leader or the last one. */
  startsSent: number;
  nextCallAtMs: number;
  /** Whether a start got no answer, so that it may be carried out late. */
  hasUnansweredStart: boolean;
  /** When the life that has it was found to be over. */
  lifeOverAtMs: number | undefined;
}

/** The name of a task within this process. */
export function taskKey(task: TaskRef): string {
  return `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`;
}

/** The name of one run of a task within this process. */
export function runName(task: TaskRef, run: number): string {
  return `${taskKey(task)} ${run}`;
}

/** All open runs by task, and by the worker and the job that they are of. */
export class RunTable {
  readonly #runs = new Map<string, OpenRunState>();
  readonly #byHolder = new RunGroups();
  readonly #byJob = new RunGroups();

  /** Takes over what the replicated state holds as open. */
  static fromState(state: BatchState, nowMs: number): RunTable {
    const table = new RunTable();
    for (const job of state.liveJobs.values()) {
      for (const [occurrence, { steps }] of job.occurrences.entries()) {
        for (const [step, { tasks }] of steps.entries()) {
          for (const [index, { worker, run }] of tasks.entries()) {
            if (worker !== undefined) {
              const task = { jobId: job.id, occurrence, step, index };
              table.open({ task, run, worker }, nowMs);
              // The last leader's order may be on its way.
              const open = table.get(task)!;
              open.startsSent = 1;
              open.hasUnansweredStart = true;
            }
          }
        }
      }
    }
    return table;
  }

  get size(): number {
    return this.#runs.size;
  }

  all(): IterableIterator<OpenRunState> {
    return this.#runs.values();
  }

  get(task: TaskRef): OpenRunState | undefined {
    return this.#runs.get(taskKey(task));
  }

  open(
    run: Pick<OpenRunState, "task" | "run" | "worker">,
    nowMs: number,
  ): void {
    const key = taskKey(run.task);
    this.#close(key);
    const open: OpenRunState = {
      ...run,
      key,
      name: runName(run.task, run.run),
      holder: run.worker,
      sinceMs: nowMs,
      confirmedAtMs: undefined,
      checkpoint: "",
      stopReason: undefined,
      stoppedAtMs: undefined,
      callsOpen: 0,
      startsSent: 0,
      nextCallAtMs: nowMs,
      hasUnansweredStart: false,
      lifeOverAtMs: undefined,
    };
    this.#runs.set(key, open);
    this.#byHolder.add(open.holder, open);
    this.#byJob.add(open.task.jobId, open);
  }

  /** The run may be at another life of its worker. */
  moveTo(run: OpenRunState, holder: WorkerKey): void {
    this.#byHolder.delete(run.holder, run);
    run.holder = holder;
    this.#byHolder.add(holder, run);
  }

  /** The runs that one life of a worker may have. */
  onHolder(key: WorkerKey): readonly OpenRunState[] {
    return this.#byHolder.of(key);
  }

  /** The open runs of one job. */
  ofJob(jobId: JobId): readonly OpenRunState[] {
    return this.#byJob.of(jobId);
  }

  /** Follows an item that took effect. */
  follow(item: BatchItem, state: BatchState, nowMs: number): void {
    switch (item.kind) {
      case "start": {
        const { jobId, occurrence, step, run } = item;
        for (const { index, worker } of item.tasks) {
          const task = { jobId, occurrence, step, index };
          this.open({ task, run, worker }, nowMs);
        }
        return;
      }
      case "end":
        this.#closeEnded(item.task, state);
        return;
      case "accept":
      case "cancel":
      case "worker":
      case "workerGone":
      case "forget":
        return;
    }
  }

  /** A gang's end closes the runs of all its members. */
  #closeEnded(ended: TaskRef, state: BatchState): void {
    const tasks = state.jobs.get(ended.jobId)?.occurrences[ended.occurrence]
      ?.steps[ended.step]?.tasks ?? [];
    for (const [index, { worker }] of tasks.entries()) {
      if (worker === undefined) {
        this.#close(taskKey({ ...ended, index }));
      }
    }
  }

  #close(key: string): void {
    const open = this.#runs.get(key);
    if (open !== undefined) {
      this.#runs.delete(key);
      this.#byHolder.delete(open.holder, open);
      this.#byJob.delete(open.task.jobId, open);
    }
  }

  /** The runs of one step that are open. */
  ofStep(task: TaskRef): OpenRunState[] {
    return this.ofJob(task.jobId).filter((other) =>
      other.task.occurrence === task.occurrence &&
      other.task.step === task.step
    );
  }
}

/** Open runs by a name that several of them share. */
class RunGroups {
  readonly #groups = new Map<string, Set<OpenRunState>>();

  of(name: string): readonly OpenRunState[] {
    return [...this.#groups.get(name) ?? []];
  }

  add(name: string, run: OpenRunState): void {
    const group = this.#groups.get(name) ?? new Set();
    this.#groups.set(name, group.add(run));
  }

  delete(name: string, run: OpenRunState): void {
    const group = this.#groups.get(name);
    group?.delete(run);
    if (group?.size === 0) {
      this.#groups.delete(name);
    }
  }
}
