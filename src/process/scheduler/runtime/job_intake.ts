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
import type { JobMover } from "./job_mover.ts";
import { isOwned, type JobRecord } from "./job_record.ts";

/** Options of {@link JobIntake}. */
export interface JobIntakeOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly ledger: JobLedger;
  readonly mover: JobMover;
  readonly feed: (event: SchedulerEvent) => void;
}

/** Feeds the jobs of one leader session to the core. */
export class JobIntake {
  readonly #options: JobIntakeOptions;
  readonly #aside = new Set<JobId>();

  constructor(options: JobIntakeOptions) {
    this.#options = options;
  }

  /** Jobs withheld from the core because they are to be transferred. */
  get aside(): ReadonlySet<JobId> {
    return this.#aside;
  }

  /** Resumes transfers; returns the records from which the core restores. */
  takeOver(): readonly JobRecord[] {
    const { ledger, mover } = this.#options;
    mover.resume();
    const records = [...ledger.liveRecords()].filter(isOwned);
    records.filter((record) => mover.isToMove(record))
      .forEach((record) => this.#aside.add(record.specification.jobId));
    return records
      .filter(({ specification }) => !this.#aside.has(specification.jobId));
  }

  /** Feeds the core the withheld jobs that no longer need a transfer. */
  takeBack(): void {
    for (const jobId of [...this.#aside]) {
      const record = this.#options.ledger.get(jobId);
      if (record === undefined || !isOwned(record)) {
        this.#aside.delete(jobId);
      } else if (!this.#options.mover.isToMove(record)) {
        this.#aside.delete(jobId);
        this.#feedSubmitted(record);
      }
    }
  }

  noteApplied(command: JobCommand): void {
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
      this.#options.mover.noteIntended(record);
    }
    // The core drops a transferred job in the same way as a cancelled one.
    const leaves = command.kind === "cancelled" ||
      command.kind === "transferIntended";
    if (leaves && !this.#aside.has(jobId)) {
      this.feedCancelled(record);
    }
  }

  #feedSubmitted(record: JobRecord): void {
    const { specification, attemptsUsed } = record;
    const { jobId } = specification;
    if (this.#options.mover.isToMove(record)) {
      this.#aside.add(jobId);
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
