/**
 * Feeds jobs to the core as the log accepts them, except those that are to be
 * transferred to another data centre, which are withheld.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type { EventLog } from "../../../base/event_log.ts";
import type { JobId } from "../../../base/identity.ts";
import type { SchedulerEvent } from "../core/scheduler_event.ts";
import type { JobCommand } from "./job_command.ts";
import type { JobLedger } from "./job_ledger.ts";
import type { JobTransferrer } from "./job_transferrer.ts";
import { isOwned, type JobRecord } from "./job_record.ts";

/** Options of {@link JobIntake}. */
export interface JobIntakeOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly ledger: JobLedger;
  readonly transferrer: JobTransferrer;
  readonly feed: (event: SchedulerEvent) => void;
}

/** Feeds the jobs of one leader session to the core. */
export class JobIntake {
  readonly #options: JobIntakeOptions;
  readonly #awaitingTransfer = new Set<JobId>();

  constructor(options: JobIntakeOptions) {
    this.#options = options;
  }

  /** Jobs withheld from the core because they are to be transferred. */
  get awaitingTransfer(): ReadonlySet<JobId> {
    return this.#awaitingTransfer;
  }

  /** Resumes transfers; returns the records of jobs for the core to restore. */
  prepareInitialRecords(): readonly JobRecord[] {
    const { ledger, transferrer } = this.#options;
    transferrer.resume();
    const records = [...ledger.liveRecords()].filter(isOwned);
    records.filter((record) => transferrer.shouldTransfer(record))
      .forEach((record) =>
        this.#awaitingTransfer.add(record.specification.jobId)
      );
    return records
      .filter(({ specification }) =>
        !this.#awaitingTransfer.has(specification.jobId)
      );
  }

  /** Feeds the core the withheld jobs that no longer need a transfer. */
  returnToCore(): void {
    for (const jobId of [...this.#awaitingTransfer]) {
      const record = this.#options.ledger.get(jobId);
      if (record === undefined || !isOwned(record)) {
        this.#awaitingTransfer.delete(jobId);
      } else if (!this.#options.transferrer.shouldTransfer(record)) {
        this.#awaitingTransfer.delete(jobId);
        this.#feedSubmitted(record);
      }
    }
  }

  handleApplied(command: JobCommand): void {
    if (!("jobId" in command) && command.kind !== "submitted") {
      return;
    }
    const jobId = command.kind === "submitted"
      ? command.specification.jobId
      : command.jobId;
    const record = this.#options.ledger.get(jobId);
    if (record === undefined) {
      return;
    }
    if (command.kind === "submitted") {
      this.#options.events.emit("jobSubmitted", { jobId });
      this.#feedSubmitted(record);
    }
    if (command.kind === "transferIntended") {
      this.#options.transferrer.trackIntended(record);
    }
    // The core drops a transferred job in the same way as a cancelled one.
    const leavesCore = command.kind === "cancelled" ||
      command.kind === "transferIntended";
    if (leavesCore && !this.#awaitingTransfer.has(jobId)) {
      this.feedCancelled(record);
    }
  }

  #feedSubmitted(record: JobRecord): void {
    const { specification, attemptsUsed } = record;
    const { jobId } = specification;
    if (this.#options.transferrer.shouldTransfer(record)) {
      this.#awaitingTransfer.add(jobId);
      return;
    }
    this.#options.feed({
      kind: "jobSubmitted",
      atMs: this.#options.clock.nowMs(),
      job: specification,
      attemptsUsed,
      isReturned: record.transfers > 0,
    });
    if (record.isCancelled) {
      this.feedCancelled(record);
    }
  }

  feedCancelled(record: JobRecord): void {
    const { jobId } = record.specification;
    const atMs = this.#options.clock.nowMs();
    this.#options.feed({ kind: "jobCancelled", atMs, jobId });
  }
}
