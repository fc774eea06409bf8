/**
 * Carries out the core's decisions.
 *
 * @module
 */

import type { WorkerId } from "../../../base/identity.ts";
import type {
  JobEnds,
  SchedulerDecision,
  StartGang,
  ThrottleGang,
} from "../core/scheduler_decision.ts";
import type { GangTable } from "./gang_table.ts";
import type { JobLedger } from "./job_ledger.ts";
import { isOwned } from "./job_record.ts";
import type { SessionContext } from "./session_context.ts";

/** Options of {@link DecisionRunner}. */
export interface DecisionRunnerOptions {
  readonly context: SessionContext;
  readonly gangs: GangTable;
  readonly ledger: JobLedger;
}

/** Carries out the decisions of one leader session. */
export class DecisionRunner {
  readonly #options: DecisionRunnerOptions;
  readonly #quarantined = new Set<WorkerId>();

  constructor(options: DecisionRunnerOptions) {
    this.#options = options;
  }

  isQuarantined(workerId: WorkerId): boolean {
    return this.#quarantined.has(workerId);
  }

  /** Begins to carry out a decision; later events give the outcome. */
  carryOut(decision: SchedulerDecision): void {
    switch (decision.kind) {
      case "startGang":
        this.#startGang(decision);
        return;
      case "stopGang":
        void this.#options.gangs.stop(decision);
        return;
      case "throttleGang":
        this.#throttle(decision);
        return;
      case "jobWaits":
        // Callers get the wait reason from the core.
        return;
      case "jobEnds":
        void this.#endJob(decision);
        return;
      case "quarantineWorker":
        this.#quarantined.add(decision.workerId);
        return;
      case "releaseWorker":
        this.#quarantined.delete(decision.workerId);
        return;
    }
  }

  #startGang(decision: StartGang): void {
    const { jobId, attempt } = decision;
    const record = this.#options.ledger.get(jobId);
    const isStartable = record !== undefined && isOwned(record) &&
      attempt > record.attemptsUsed &&
      this.#options.gangs.get(jobId, attempt) === undefined;
    if (!isStartable) {
      const atMs = this.#options.context.clock.nowMs();
      const workerIds: string[] = [];
      this.#options.context.feed({
        kind: "gangStartFailed",
        atMs,
        jobId,
        attempt,
        workerIds,
      });
      return;
    }
    void this.#options.gangs.start(decision, record.specification.command);
  }

  #throttle(decision: ThrottleGang): void {
    const { jobId, attempt, coresFraction } = decision;
    const gang = this.#options.gangs.get(jobId, attempt);
    for (const workerId of gang?.workerIds ?? []) {
      void this.#options.context.caller.call(workerId, {
        buildCommand: () => ({
          kind: "throttle",
          jobId,
          attempt,
          coresFraction,
        }),
      });
    }
  }

  async #endJob(decision: JobEnds): Promise<void> {
    const { jobId, outcome, error, detail } = decision;
    const result = await this.#options.context.writer.write({
      kind: "ended",
      jobId,
      outcome,
      ...(error === undefined ? {} : { error }),
      ...(detail === undefined ? {} : { detail }),
    });
    // The outcome is `existing` if the end of its last attempt ended the job.
    if (result !== undefined && result.kind !== "refused") {
      this.#options.context.events.emit("jobEnded", { jobId, outcome });
    }
  }
}
