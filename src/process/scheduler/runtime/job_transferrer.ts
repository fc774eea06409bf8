/**
 * Transfers jobs that can't run here to another data centre in three steps:
 * commit the target to this log, submit the job to the target's log, commit
 * to this log that the target has accepted it. Every step may be repeated.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type { EventLog } from "../../../base/event_log.ts";
import type { DataCentreId, JobId } from "../../../base/identity.ts";
import type { Result } from "../../../base/sesame_error.ts";
import type { ConfigurationSource } from "../../configuration/configuration_source.ts";
import { transferTargets } from "./data_centre_choice.ts";
import type { JobLedger } from "./job_ledger.ts";
import { isOwned, type JobRecord } from "./job_record.ts";
import type { LedgerWriter } from "./ledger_writer.ts";
import type { SchedulerAnswer, SchedulerCall } from "./scheduler_message.ts";

/** How many transfers may be in progress at once. */
const TRANSFERS_LIMIT = 16;

/** Options of {@link JobTransferrer}. */
export interface JobTransferrerOptions {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  readonly configuration: ConfigurationSource;
  readonly ledger: JobLedger;
  readonly writer: LedgerWriter;
  readonly events: EventLog;
  readonly callDataCentre: (
    dataCentre: DataCentreId,
    call: SchedulerCall,
  ) => Promise<Result<SchedulerAnswer>>;
  /** Marks jobs as transferred without the target's answer; only for tests. */
  readonly skipsAcknowledgement: boolean;
}

/** Transfers jobs during one leader session. */
export class JobTransferrer {
  readonly #options: JobTransferrerOptions;
  readonly #inProgress = new Set<JobId>();
  /** Jobs whose transfer is in the log and not yet accepted. */
  readonly #intended = new Set<JobId>();

  constructor(options: JobTransferrerOptions) {
    this.#options = options;
  }

  /** Whether the job is to be transferred rather than fed to the core. */
  shouldTransfer(record: JobRecord): boolean {
    return this.#targets(record).length > 0;
  }

  /** Resumes the transfers that an earlier leader began. */
  resume(): void {
    for (const record of this.#options.ledger.liveRecords()) {
      this.trackIntended(record);
    }
  }

  /** Retries the job's transfer from now on until it is accepted. */
  trackIntended(record: JobRecord): void {
    if (isTransferring(record)) {
      this.#intended.add(record.specification.jobId);
    }
  }

  /**
   * Begins due transfers: those in the log, then those of `awaitingTransfer`,
   * or of every live job while this data centre is out.
   */
  tick(awaitingTransfer: Iterable<JobId>): void {
    for (const jobId of this.#intended) {
      this.#beginIfDue(this.#options.ledger.get(jobId));
    }
    if (!this.#isOut()) {
      for (const jobId of awaitingTransfer) {
        this.#beginIfDue(this.#options.ledger.get(jobId));
      }
      return;
    }
    for (const record of this.#options.ledger.liveRecords()) {
      this.#beginIfDue(record);
    }
  }

  #beginIfDue(record: JobRecord | undefined): void {
    if (record === undefined || this.#inProgress.size >= TRANSFERS_LIMIT) {
      return;
    }
    const { jobId } = record.specification;
    if (!isTransferring(record)) {
      this.#intended.delete(jobId);
    }
    const isDue = isTransferring(record) || this.shouldTransfer(record);
    if (isDue && !this.#inProgress.has(jobId)) {
      this.#inProgress.add(jobId);
      void this.#transfer(record).finally(() => this.#inProgress.delete(jobId));
    }
  }

  #isOut(): boolean {
    const { configuration, dataCentre } = this.#options;
    const { document } = configuration.current();
    return document.dataCentres[dataCentre]?.status === "out";
  }

  #targets(record: JobRecord): readonly DataCentreId[] {
    const isTransferable = isOwned(record) && !record.isCancelled &&
      record.openAttempt === undefined;
    if (!isTransferable) {
      return [];
    }
    const { configuration, dataCentre } = this.#options;
    const { document } = configuration.current();
    return transferTargets(record.specification, {
      here: dataCentre,
      document,
    });
  }

  async #transfer(record: JobRecord): Promise<void> {
    const { writer, ledger, events } = this.#options;
    const { jobId } = record.specification;
    const to = record.transfer?.toDataCentre ??
      await this.#findReachable(record);
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
    const isAccepted = await this.#submitToTarget(intended, to);
    if (isAccepted || this.#options.skipsAcknowledgement) {
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

  /**
   * The best target that answers now: once a target is in the log, the job
   * waits for it, however long it can't be reached.
   */
  async #findReachable(record: JobRecord): Promise<DataCentreId | undefined> {
    const { jobId } = record.specification;
    for (const target of this.#targets(record)) {
      const answer = await this.#options.callDataCentre(target, {
        kind: "job",
        jobId,
      });
      if (answer.isRight()) {
        return target;
      }
    }
    return undefined;
  }

  /** Whether the target accepts the job, and its cancellation if any. */
  async #submitToTarget(record: JobRecord, to: DataCentreId): Promise<boolean> {
    const { callDataCentre } = this.#options;
    const { specification, submittedAtMs, attemptsUsed } = record;
    const submitted = await callDataCentre(to, {
      kind: "submit",
      specification,
      submittedAtMs,
      transfers: record.transfers + 1,
      attemptsUsed,
    });
    if (!isJobAnswer(submitted)) {
      return false;
    }
    const { jobId } = specification;
    if (!record.isCancelled) {
      return true;
    }
    return isJobAnswer(await callDataCentre(to, { kind: "cancel", jobId }));
  }
}

function isTransferring(record: JobRecord): boolean {
  return record.transfer !== undefined &&
    record.transfer.acceptedAtMs === undefined;
}

function isJobAnswer(result: Result<SchedulerAnswer>): boolean {
  return result.map((answer) => answer.kind === "job").orDefault(false);
}
