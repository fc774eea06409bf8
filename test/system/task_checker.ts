/**
 * Checks what ran on the workers: gangs run complete, no job runs twice, no
 * task starts in a data centre that is out, and no job is lost.
 *
 * @module
 */

import type { TaskEvent } from "../../standins/worker/worker_types.ts";
import { LEASE_DEFAULTS } from "../../src/process/scheduler/runtime/lease_rule.ts";
import { RunHistory } from "../../src/process/scheduler/runtime/testing/run_history.ts";
import type { EffectiveRemoval } from "./edit_checker.ts";
import type { SystemDataCentre } from "./system_document.ts";

/** Starts later than this after a removal took effect are violations. */
const REMOVAL_GRACE_MS = 2_000;

/** How long part of a gang may run without the rest: a lease, with drift. */
const MAX_PARTIAL_MS = LEASE_DEFAULTS.leaseMs *
  (1 + LEASE_DEFAULTS.clockDriftFraction);

interface TaskStart {
  readonly label: string;
  readonly dataCentre: SystemDataCentre;
  readonly atMs: number;
}

/** Checks the tasks of one history. */
export class TaskChecker {
  readonly #history = new RunHistory();
  readonly #starts: TaskStart[] = [];
  readonly #taskCounts = new Map<string, number>();
  /** By attempt and task index, the worker on which the task succeeded. */
  readonly #succeeded = new Map<string, Map<number, string>>();
  readonly #ended = new Set<string>();
  readonly #acknowledged = new Set<string>();
  readonly #violations: string[] = [];

  recordSubmitted(jobId: string, tasks: number): void {
    this.#taskCounts.set(jobId, tasks);
  }

  /** Records that a job's submission was accepted. */
  recordAcknowledged(jobId: string): void {
    this.#acknowledged.add(jobId);
  }

  recordTaskEvent(
    event: TaskEvent,
    context: { atMs: number; dataCentre: SystemDataCentre },
  ): void {
    const { atMs, dataCentre } = context;
    this.#history.record({ ...event, atMs });
    const { jobId, attempt, taskIndex, workerId } = event;
    const label = `${jobId}/${attempt}/${taskIndex} on ${workerId} at ${atMs}`;
    if (event.kind === "started") {
      this.#starts.push({ label, dataCentre, atMs });
      this.#checkNotRepeated(jobId, label);
    } else if (event.outcome === "succeeded") {
      const id = `${jobId}/${attempt}`;
      const workers = this.#succeeded.get(id) ?? new Map<number, string>();
      this.#succeeded.set(id, workers.set(taskIndex, workerId));
    }
  }

  /** Records that the system has reported the job as ended. */
  recordJobEnded(jobId: string): void {
    this.#ended.add(jobId);
  }

  /**
   * Discards, for jobs that have not ended, the attempts with a task that
   * succeeded on this worker: it may have been the only one to know of the
   * success, so that such a job may run again.
   */
  recordWorkerDied(workerId: string): void {
    for (const [id, workers] of this.#succeeded) {
      const [jobId = ""] = id.split("/");
      const hasNotEnded = !this.#ended.has(jobId);
      if (hasNotEnded && [...workers.values()].includes(workerId)) {
        this.#succeeded.delete(id);
      }
    }
  }

  /** Checks the state of each job a while after all faults have ended. */
  checkFinalStates(states: ReadonlyMap<string, string>): void {
    for (const jobId of this.#acknowledged) {
      const state = states.get(jobId);
      if (state !== "ended") {
        this.#violations.push(`job ${jobId} is ${state ?? "lost"} at the end`);
      }
    }
  }

  /** Whether each acknowledged job was reported as ended. */
  get haveJobsEnded(): boolean {
    return [...this.#acknowledged].every((jobId) => this.#ended.has(jobId));
  }

  get acknowledged(): readonly string[] {
    return [...this.#acknowledged];
  }

  violations(removals: readonly EffectiveRemoval[]): string[] {
    const partialMs = this.#history.longestPartialMs((jobId) =>
      this.#taskCounts.get(jobId) ?? 1
    );
    return [
      ...this.#violations,
      ...this.#history.violations,
      ...this.#startsWhileOut(removals),
      ...(partialMs > MAX_PARTIAL_MS
        ? [`a part of a gang ran alone for ${Math.round(partialMs)} ms`]
        : []),
    ];
  }

  #startsWhileOut(removals: readonly EffectiveRemoval[]): string[] {
    return this.#starts.flatMap(({ label, dataCentre, atMs }) => {
      const isOut = removals.some((removal) =>
        removal.dataCentre === dataCentre &&
        atMs > removal.fromMs + REMOVAL_GRACE_MS && atMs < removal.untilMs
      );
      return isOut ? [`${label}: ${dataCentre} is out`] : [];
    });
  }

  #checkNotRepeated(jobId: string, label: string): void {
    if (this.#ended.has(jobId)) {
      this.#violations.push(`${label}: started after the job had ended`);
    }
    for (const [id, workers] of this.#succeeded) {
      const isComplete = workers.size === this.#taskCounts.get(jobId);
      if (id.startsWith(`${jobId}/`) && isComplete) {
        this.#violations.push(
          `${label}: started although the job was done already`,
        );
      }
    }
  }
}
