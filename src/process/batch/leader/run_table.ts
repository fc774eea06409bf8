/**
 * The open runs that the leader tracks: each is started and confirmed, or
 * stopped, until its end is stored.
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
import { openOccurrences } from "../job_record.ts";
import { RunPace } from "./run_pace.ts";
import { LATE_START_LIMIT_MS } from "./unanswered_starts.ts";

/** Why a run is to be stopped. */
export const StopReason = {
  /** Its job was cancelled, or has failed or completed. */
  jobOver: "jobOver",
  /** More urgent work needs its capacity. */
  preempted: "preempted",
  /** Its gang can't go on, or its worker refused a start of it. */
  gangBroken: "gangBroken",
  /** Its worker restarted; the new incarnation may have received its start. */
  workerRestarted: "workerRestarted",
  /** Its worker drains or is about to end, or its data centre was taken out. */
  workerLeaving: "workerLeaving",
} as const;

/** One of the values of {@link StopReason}. */
export type StopReason = typeof StopReason[keyof typeof StopReason];

/** One open run, as the leader tracks it. */
export interface OpenRunState {
  readonly task: TaskRef;
  readonly run: number;
  /** The worker incarnation that the run was planned for. */
  readonly worker: WorkerKey;
  /** The {@link taskKey} of the task. */
  readonly taskKey: string;
  /** The {@link runKey} of the run. */
  readonly runKey: string;
  /**
   * The worker incarnation that may have the run. An order that is on its way
   * when the worker restarts may reach the next incarnation. Changed by
   * {@link RunTable.moveTo} only.
   */
  holder: WorkerKey;
  /** When this leader learned of the run. */
  readonly openedAtMs: number;
  /** When the worker was first known to have the run. */
  confirmedAtMs: number | undefined;
  /** The last checkpoint that the worker reported; empty for none. */
  checkpoint: string;
  /** How fast it advances. */
  readonly pace: RunPace;
  stopReason: StopReason | undefined;
  /** When the worker acknowledged the stop. */
  stoppedAtMs: number | undefined;
  /** Orders that were sent and not answered yet. */
  pendingOrders: number;
  /** How many times the start was sent; initially 1 for an inherited run. */
  startsSent: number;
  /** Whether an earlier leader may have sent starts, too. */
  readonly isInherited: boolean;
  /** The earliest time of the next order. */
  nextCallAtMs: number;
  /**
   * Until when a start that got no answer may be carried out, by the worker's
   * present incarnation or by a later one, by the steady clock; 0 if there is none.
   */
  lateStartUntilMs: number;
  /** Whether the replicated state says that the run is settled. */
  isSettled: boolean;
  /** When the holder was found to have no record, by the steady clock. */
  recordMissingAtMs: number | undefined;
}

/** A string that identifies a task. */
export function taskKey(task: TaskRef): string {
  return `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`;
}

/** A string that identifies one run of a task. */
export function runKey(task: TaskRef, run: number): string {
  return `${taskKey(task)} ${run}`;
}

/** All open runs, indexed by task, worker incarnation and job. */
export class RunTable {
  readonly #runs = new Map<string, OpenRunState>();
  readonly #byHolder = new RunGroups();
  readonly #byJob = new RunGroups();

  /** A new leader's table of the runs that are open in the replicated state. */
  static fromState(
    state: BatchState,
    { nowMs, steadyMs }: { nowMs: number; steadyMs: number },
  ): RunTable {
    const table = new RunTable();
    for (const job of state.liveJobs.values()) {
      for (const [occurrence, { steps }] of openOccurrences(job)) {
        for (const [step, { tasks }] of steps.entries()) {
          for (const [index, record] of tasks.entries()) {
            const { worker, run, isSettled = false } = record;
            if (worker !== undefined) {
              const task = { jobId: job.id, occurrence, step, index };
              table.open({ task, run, worker }, nowMs, { isInherited: true });
              const open = table.get(task)!;
              open.startsSent = 1;
              open.isSettled = isSettled;
              // A start sent by an earlier leader may still arrive.
              open.lateStartUntilMs = isSettled
                ? 0
                : steadyMs + LATE_START_LIMIT_MS;
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
    { isInherited = false }: { isInherited?: boolean } = {},
  ): void {
    const key = taskKey(run.task);
    this.#close(key);
    const open: OpenRunState = {
      ...run,
      taskKey: key,
      runKey: runKey(run.task, run.run),
      holder: run.worker,
      openedAtMs: nowMs,
      confirmedAtMs: undefined,
      checkpoint: "",
      pace: new RunPace(),
      stopReason: undefined,
      stoppedAtMs: undefined,
      pendingOrders: 0,
      startsSent: 0,
      isInherited,
      nextCallAtMs: nowMs,
      lateStartUntilMs: 0,
      isSettled: false,
      recordMissingAtMs: undefined,
    };
    this.#runs.set(key, open);
    this.#byHolder.add(open.holder, open);
    this.#byJob.add(open.task.jobId, open);
  }

  /**
   * Records that the run may be on another incarnation of its worker. What the one
   * before has confirmed proves nothing there.
   */
  moveTo(run: OpenRunState, holder: WorkerKey): void {
    this.#byHolder.delete(run.holder, run);
    run.holder = holder;
    run.confirmedAtMs = undefined;
    run.stoppedAtMs = undefined;
    this.#byHolder.add(holder, run);
  }

  /** The open runs that one worker incarnation may have. */
  onHolder(key: WorkerKey): readonly OpenRunState[] {
    return this.#byHolder.of(key);
  }

  /** How many runs of a worker it hasn't confirmed, and aren't to be stopped. */
  unconfirmedOn(key: WorkerKey): number {
    let unconfirmed = 0;
    for (const { confirmedAtMs, stopReason } of this.#byHolder.each(key)) {
      unconfirmed += confirmedAtMs === undefined && stopReason === undefined
        ? 1
        : 0;
    }
    return unconfirmed;
  }

  /** The open runs of one job. */
  ofJob(jobId: JobId): readonly OpenRunState[] {
    return this.#byJob.of(jobId);
  }

  /** Opens or closes runs after a committed item that took effect. */
  applyItem(item: BatchItem, state: BatchState, nowMs: number): void {
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
      case "settle":
      case "worker":
      case "workerGone":
      case "workerSpeed":
      case "forget":
        return;
    }
  }

  /** Closes a run that has ended; one task's end may end its gang. */
  #closeEnded(ended: TaskRef, state: BatchState): void {
    const spec = state.jobs.get(ended.jobId)?.spec.steps[ended.step];
    const closeIfEnded = (task: TaskRef) => {
      if (state.taskOf(task)?.worker === undefined) {
        this.#close(taskKey(task));
      }
    };
    if (spec?.isGang === true) {
      for (let index = 0; index < spec.taskCount; index++) {
        closeIfEnded({ ...ended, index });
      }
    } else {
      closeIfEnded(ended);
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

  /** The open runs of the task's step. */
  ofStep(task: TaskRef): OpenRunState[] {
    return this.ofJob(task.jobId).filter((other) =>
      other.task.occurrence === task.occurrence &&
      other.task.step === task.step
    );
  }
}

/** Open runs grouped by a key. */
class RunGroups {
  readonly #groups = new Map<string, Set<OpenRunState>>();

  of(key: string): readonly OpenRunState[] {
    return [...this.each(key)];
  }

  /** Like {@link of}, for callers that change nothing meanwhile. */
  each(key: string): Iterable<OpenRunState> {
    return this.#groups.get(key) ?? [];
  }

  add(key: string, run: OpenRunState): void {
    const group = this.#groups.get(key) ?? new Set();
    this.#groups.set(key, group.add(run));
  }

  delete(key: string, run: OpenRunState): void {
    const group = this.#groups.get(key);
    group?.delete(run);
    if (group?.size === 0) {
      this.#groups.delete(key);
    }
  }
}
