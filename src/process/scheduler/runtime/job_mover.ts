/**
 * Hands jobs over to another data centre when they can't run here: first the
 * own log says that the job waits for the other one, then the other log takes
 * it, then the own log lets it go. Each step may be done again.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type { EventLog } from "../../../base/event_log.ts";
import type { DataCentreId, JobId } from "../../../base/identity.ts";
import type { Result } from "../../../base/sesame_error.ts";
import type { ConfigurationSource } from "../../configuration/configuration_source.ts";
import { moveTarget } from "./data_centre_choice.ts";
import type { JobLedger } from "./job_ledger.ts";
import { isOwned, type JobRecord } from "./job_record.ts";
import type { LedgerWriter } from "./ledger_writer.ts";
import type { SchedulerAnswer, SchedulerCall } from "./scheduler_message.ts";

/** How many jobs may be on their way at once. */
const MOVES_LIMIT = 16;

/** Options of {@link JobMover}. */
export interface JobMoverOptions {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  readonly configuration: ConfigurationSource;
  readonly ledger: JobLedger;
  readonly writer: LedgerWriter;
  readonly events: EventLog;
  readonly ask: (
    dataCentre: DataCentreId,
    call: SchedulerCall,
  ) => Promise<Result<SchedulerAnswer>>;
  /** Lets the job go before the other log has it; in tests alone. */
  readonly forgetsAcknowledgement: boolean;
}

/** Moves the jobs of one period of leadership. */
export class JobMover {
  readonly #options: JobMoverOptions;
  readonly #moving = new Set<JobId>();

  constructor(options: JobMoverOptions) {
    this.#options = options;
  }

  /** Whether the job is to go elsewhere rather than to the core. */
  isToMove(record: JobRecord): boolean {
    return this.#target(record) !== undefined;
  }

  /** Takes up what waits to be moved. */
  tick(): void {
    for (const record of this.#options.ledger.liveRecords()) {
      if (this.#moving.size >= MOVES_LIMIT) {
        return;
      }
      const { jobId } = record.specification;
      const isUnderWay = record.transfer !== undefined &&
        record.transfer.acceptedAtMs === undefined;
      if (!this.#moving.has(jobId) && (isUnderWay || this.isToMove(record))) {
        this.#moving.add(jobId);
        void this.#move(record).finally(() => this.#moving.delete(jobId));
      }
    }
  }

  #target(record: JobRecord): DataCentreId | undefined {
    const isFree = isOwned(record) && !record.isCancelled &&
      record.openAttempt === undefined;
    if (!isFree) {
      return undefined;
    }
    const { configuration, dataCentre } = this.#options;
    const { document } = configuration.current();
    return moveTarget(record.specification, { here: dataCentre, document });
  }

  async #move(record: JobRecord): Promise<void> {
    const { writer, ledger, events } = this.#options;
    const { jobId } = record.specification;
    const to = record.transfer?.toDataCentre ?? this.#target(record);
    if (to === undefined) {
      return;
    }
    if (record.transfer === undefined) {
      await writer.write({
        kind: "transferIntended",
        jobId,
        toDataCentre: to,
      });
    }
    const intended = ledger.get(jobId);
    if (intended?.transfer?.toDataCentre !== to) {
      return;
    }
    const isCancellationPassedOn = intended.isCancelled;
    const isTaken = await this.#handOver(intended, to);
    if (isTaken || this.#options.forgetsAcknowledgement) {
      const outcome = await writer.write({
        kind: "transferAccepted",
        jobId,
        isCancellationPassedOn,
      });
      if (outcome?.kind === "applied") {
        events.emit("jobMoved", { jobId, dataCentre: to });
      }
    }
  }

  /** Whether the other log has the job, and its cancellation if any. */
  async #handOver(record: JobRecord, to: DataCentreId): Promise<boolean> {
    const { ask } = this.#options;
    const { specification, submittedAtMs, attemptsUsed } = record;
    const taken = await ask(to, {
      kind: "submit",
      specification,
      submittedAtMs,
      transfers: record.transfers + 1,
      attemptsUsed,
    });
    if (!isJob(taken)) {
      return false;
    }
    const { jobId } = specification;
    if (!record.isCancelled) {
      return true;
    }
    return isJob(await ask(to, { kind: "cancel", jobId }));
  }
}

function isJob(result: Result<SchedulerAnswer>): boolean {
  return result.map((answer) => answer.kind === "job").orDefault(false);
}
