/**
 * One attempt of a job as its leader tracks it: the leases granted to each
 * worker, and what each worker reported.
 *
 * @module
 */

import type { JobId, WorkerId } from "../../../base/identity.ts";
import type { TaskPlacement } from "../core/scheduler_decision.ts";
import type { TaskOutcome, TaskReference } from "../core/scheduler_event.ts";
import type { HeldTask } from "./worker_report.ts";

/** The phase of an attempt. */
export type GangPhase = "starting" | "running" | "stopping" | "over";

/** Options of {@link Gang}. */
export interface GangOptions {
  readonly jobId: JobId;
  readonly attempt: number;
  readonly placements: readonly TaskPlacement[];
  readonly phase: GangPhase;
  /** Until when an earlier leader's leases may be valid; 0 for none. */
  readonly grantedUntilMs: number;
}

/** One worker of the gang. */
interface Member {
  readonly taskIndexes: readonly number[];
  /** The latest time at which the worker is known to have held its tasks. */
  confirmedAtMs: number;
  /** Until when its tasks may run without another renewal. */
  grantedUntilMs: number;
}

/** One attempt of a job, run as a gang of tasks. */
export class Gang {
  readonly jobId: JobId;
  readonly attempt: number;
  readonly placements: readonly TaskPlacement[];
  phase: GangPhase;
  /** Whether a stop in progress waits for checkpoints. */
  isCheckpointing = false;
  readonly #members = new Map<WorkerId, Member>();
  readonly #outcomes = new Map<number, TaskOutcome>();

  constructor(options: GangOptions) {
    this.jobId = options.jobId;
    this.attempt = options.attempt;
    this.placements = options.placements;
    this.phase = options.phase;
    for (const { workerId } of options.placements) {
      this.#members.set(workerId, {
        taskIndexes: tasksOf(options.placements, workerId),
        confirmedAtMs: 0,
        grantedUntilMs: options.grantedUntilMs,
      });
    }
  }

  get workerIds(): readonly WorkerId[] {
    return [...this.#members.keys()];
  }

  taskIndexes(workerId: WorkerId): readonly number[] {
    return this.#members.get(workerId)?.taskIndexes ?? [];
  }

  outcome(taskIndex: number): TaskOutcome | undefined {
    return this.#outcomes.get(taskIndex);
  }

  reference(taskIndex: number): TaskReference {
    return { jobId: this.jobId, attempt: this.attempt, taskIndex };
  }

  /** Records how a task ended; false if that was already known. */
  recordOutcome(taskIndex: number, outcome: TaskOutcome): boolean {
    if (this.#outcomes.has(taskIndex)) {
      return false;
    }
    this.#outcomes.set(taskIndex, outcome);
    return true;
  }

  /** Whether the gang's leases must be renewed. */
  get needsRenewal(): boolean {
    return this.phase === "running" ||
      (this.phase === "stopping" && this.isCheckpointing);
  }

  /** Whether a task failed on its own rather than being stopped or lost. */
  get hasFailed(): boolean {
    return [...this.#outcomes.values()].includes("failed");
  }

  get hasEnded(): boolean {
    return this.#outcomes.size === this.placements.length;
  }

  /** Whether every task succeeded. */
  get hasSucceeded(): boolean {
    return this.hasEnded &&
      [...this.#outcomes.values()].every((outcome) => outcome === "succeeded");
  }

  /** Whether every task ended after a checkpoint or succeeded. */
  get isCheckpointed(): boolean {
    return this.hasEnded && [...this.#outcomes.values()].every(endedWell);
  }

  confirm(workerId: WorkerId, atMs: number): void {
    const member = this.#members.get(workerId);
    if (member !== undefined) {
      member.confirmedAtMs = Math.max(member.confirmedAtMs, atMs);
    }
  }

  grant(workerId: WorkerId, untilMs: number): void {
    const member = this.#members.get(workerId);
    if (member !== undefined) {
      member.grantedUntilMs = Math.max(member.grantedUntilMs, untilMs);
    }
  }

  grantedUntilMs(workerId: WorkerId): number {
    return this.#members.get(workerId)?.grantedUntilMs ?? 0;
  }

  /**
   * The lease end to grant to each worker: `leaseMs` after the earliest
   * confirmation among the workers with unfinished tasks. Zero once every task
   * has ended, or once one failed, was stopped or was lost, so that a broken
   * gang isn't kept running.
   */
  renewalEndMs(leaseMs: number): number {
    if ([...this.#outcomes.values()].some((outcome) => !endedWell(outcome))) {
      return 0;
    }
    let confirmedAtMs = Number.POSITIVE_INFINITY;
    for (const member of this.#members.values()) {
      if (!this.#isDone(member)) {
        confirmedAtMs = Math.min(confirmedAtMs, member.confirmedAtMs);
      }
    }
    return Number.isFinite(confirmedAtMs) ? confirmedAtMs + leaseMs : 0;
  }

  /** The gang's tasks among those that a worker lists. */
  tasksAmong(tasks: readonly HeldTask[]): readonly HeldTask[] {
    return tasks.filter((task) =>
      task.jobId === this.jobId && task.attempt === this.attempt
    );
  }

  /** Whether the worker lists all its tasks as running or {@link endedWell}. */
  isConfirmedBy(workerId: WorkerId, tasks: readonly HeldTask[]): boolean {
    const listed = this.tasksAmong(tasks);
    return this.taskIndexes(workerId).every((taskIndex) => {
      const task = listed.find((each) => each.taskIndex === taskIndex);
      return task?.state === "running" ||
        (task?.state === "ended" && endedWell(task.outcome));
    });
  }

  #isDone(member: Member): boolean {
    return member.taskIndexes.every((index) => this.#outcomes.has(index));
  }
}

/** Whether the other tasks of the gang may go on after this outcome. */
export function endedWell(outcome: TaskOutcome | undefined): boolean {
  return outcome === "succeeded" || outcome === "checkpointed";
}

function tasksOf(
  placements: readonly TaskPlacement[],
  workerId: WorkerId,
): number[] {
  return placements
    .filter((placement) => placement.workerId === workerId)
    .map((placement) => placement.taskIndex);
}
