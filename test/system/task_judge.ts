/**
 * Judges what truly ran on the workers: gangs whole, no job twice, nothing
 * started in a data centre that is out, and no job lost.
 *
 * @module
 */

import type { TaskEvent } from "../../standins/worker/worker_types.ts";
import { LEASE_DEFAULTS } from "../../src/process/scheduler/runtime/lease_rule.ts";
import { RunHistory } from "../../src/process/scheduler/runtime/testing/run_history.ts";
import type { HeldRemoval } from "./edit_judge.ts";
import type { SystemDataCentre } from "./system_document.ts";

/** After this a removed data centre must start nothing. */
const REMOVAL_BOUND_MS = 2_000;

/** The longest that a part of a gang may run without the rest: its lease. */
const PARTIAL_BOUND_MS = LEASE_DEFAULTS.leaseMs *
  (1 + LEASE_DEFAULTS.clockDriftFraction);

interface Start {
  readonly label: string;
  readonly dataCentre: SystemDataCentre;
  readonly atMs: number;
}

/** Judges tasks. */
export class TaskJudge {
  readonly #history = new RunHistory();
  readonly #starts: Start[] = [];
  readonly #tasksOf = new Map<string, number>();
  /** The workers on which tasks of each attempt succeeded. */
  readonly #succeeded = new Map<string, Map<number, string>>();
  readonly #ended = new Set<string>();
  readonly #acknowledged = new Set<string>();
  readonly #violations: string[] = [];

  /** A job is handed in. */
  noteSubmitted(jobId: string, tasks: number): void {
    this.#tasksOf.set(jobId, tasks);
  }

  /** Its submission was accepted. */
  noteAcknowledged(jobId: string): void {
    this.#acknowledged.add(jobId);
  }

  note(
    happening: TaskEvent,
    seen: { atMs: number; dataCentre: SystemDataCentre },
  ): void {
    const { atMs, dataCentre } = seen;
    this.#history.record({ ...happening, atMs });
    const { jobId, attempt, taskIndex, workerId } = happening;
    const label = `${jobId}/${attempt}/${taskIndex} on ${workerId} at ${atMs}`;
    if (happening.kind === "started") {
      this.#starts.push({ label, dataCentre, atMs });
      this.#judgeRepeat(jobId, label);
    } else if (happening.outcome === "succeeded") {
      const id = `${jobId}/${attempt}`;
      const done = this.#succeeded.get(id) ?? new Map<number, string>();
      this.#succeeded.set(id, done.set(taskIndex, workerId));
    }
  }

  /** The system says that the job is over. */
  noteJobEnded(jobId: string): void {
    this.#ended.add(jobId);
  }

  /** What only this worker knew of jobs that go on is gone. */
  noteWorkerDied(workerId: string): void {
    for (const [id, done] of this.#succeeded) {
      const [jobId = ""] = id.split("/");
      const isUnknown = !this.#ended.has(jobId);
      if (isUnknown && [...done.values()].includes(workerId)) {
        this.#succeeded.delete(id);
      }
    }
  }

  /** Jobs that are known and ended after all faults ended and time passed. */
  noteEnd(states: ReadonlyMap<string, string>): void {
    for (const jobId of this.#acknowledged) {
      const state = states.get(jobId);
      if (state !== "ended") {
        this.#violations.push(`job ${jobId} is ${state ?? "lost"} at the end`);
      }
    }
  }

  /** Whether each acknowledged job was said to be over. */
  get haveJobsEnded(): boolean {
    return [...this.#acknowledged].every((jobId) => this.#ended.has(jobId));
  }

  get acknowledged(): readonly string[] {
    return [...this.#acknowledged];
  }

  violations(removals: readonly HeldRemoval[]): string[] {
    const partialMs = this.#history.longestPartialMs((jobId) =>
      this.#tasksOf.get(jobId) ?? 1
    );
    return [
      ...this.#violations,
      ...this.#history.violations,
      ...this.#startsWhileOut(removals),
      ...(partialMs > PARTIAL_BOUND_MS
        ? [`a part of a gang ran alone for ${Math.round(partialMs)} ms`]
        : []),
    ];
  }

  #startsWhileOut(removals: readonly HeldRemoval[]): string[] {
    return this.#starts.flatMap(({ label, dataCentre, atMs }) => {
      const isOut = removals.some((removal) =>
        removal.dataCentre === dataCentre &&
        atMs > removal.fromMs + REMOVAL_BOUND_MS && atMs < removal.untilMs
      );
      return isOut ? [`${label}: ${dataCentre} is out`] : [];
    });
  }

  #judgeRepeat(jobId: string, label: string): void {
    if (this.#ended.has(jobId)) {
      this.#violations.push(`${label}: it had ended`);
    }
    for (const [id, done] of this.#succeeded) {
      const isWhole = done.size === this.#tasksOf.get(jobId);
      if (id.startsWith(`${jobId}/`) && isWhole) {
        this.#violations.push(`${label}: it was done already`);
      }
    }
  }
}
