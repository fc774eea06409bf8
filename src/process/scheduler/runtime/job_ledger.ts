/**
 * The jobs of one data centre, replicated by its instances.
 *
 * @module
 */

import { isDeepStrictEqual } from "node:util";
import { Channel } from "../../../base/channel.ts";
import type { JobId } from "../../../base/identity.ts";
import type { Result } from "../../../base/sesame_error.ts";
import type { StateMachine } from "../../replication/replicated_log.ts";
import type { JobCommand, JobCommandOutcome } from "./job_command.ts";
import { type AttemptRecord, isOwned, type JobRecord } from "./job_record.ts";
import { decodeJobSnapshot, encodeJobSnapshot } from "./job_snapshot.ts";

/** How much of the past the ledger keeps. */
export interface JobLedgerOptions {
  /** How long an ended or moved job is kept. */
  readonly endedRetentionMs?: number;
  /** How many ended and moved jobs are kept at most. */
  readonly endedLimit?: number;
  /** How many ended attempts are kept of each job. */
  readonly pastAttemptsLimit?: number;
}

/** Defaults of {@link JobLedgerOptions}. */
export const JOB_LEDGER_DEFAULTS: Required<JobLedgerOptions> = {
  endedRetentionMs: 7 * 86_400_000,
  endedLimit: 20_000,
  pastAttemptsLimit: 4,
};

type CommandOf<Kind extends JobCommand["kind"]> = Extract<
  JobCommand,
  { kind: Kind }
>;

const APPLIED: JobCommandOutcome = { kind: "applied" };

/** The replicated jobs of one data centre. */
export class JobLedger implements StateMachine<JobCommand, JobCommandOutcome> {
  readonly #options: Required<JobLedgerOptions>;
  readonly #applied = new Channel<JobCommand>();
  #records = new Map<JobId, JobRecord>();
  /** Jobs that wait, run or are being transferred. */
  readonly #liveJobIds = new Set<JobId>();
  /** Ended and moved jobs, in the order in which they ended or moved. */
  #endedJobIds = new Set<JobId>();
  #highestTerm = 0;

  constructor(options: JobLedgerOptions = {}) {
    this.#options = { ...JOB_LEDGER_DEFAULTS, ...options };
  }

  /** Each command that had an effect, after it was applied. */
  get applied(): Channel<JobCommand>["stream"] {
    return this.#applied.stream;
  }

  get(jobId: JobId): JobRecord | undefined {
    return this.#records.get(jobId);
  }

  /** All jobs that are kept, oldest first. */
  records(): IterableIterator<JobRecord> {
    return this.#records.values();
  }

  /** Jobs that wait, run or are being transferred to another data centre. */
  *liveRecords(): Generator<JobRecord> {
    for (const jobId of this.#liveJobIds) {
      const record = this.#records.get(jobId);
      if (record !== undefined) {
        yield record;
      }
    }
  }

  /** The highest term in which a leader has begun. */
  get highestTerm(): number {
    return this.#highestTerm;
  }

  apply(command: JobCommand): JobCommandOutcome {
    const outcome = this.#dispatch(command);
    if (outcome.kind === "applied") {
      this.#applied.push(command);
    }
    return outcome;
  }

  snapshot(): Uint8Array {
    return encodeJobSnapshot({
      highestTerm: this.#highestTerm,
      records: [...this.#records.values()],
      endedJobIds: [...this.#endedJobIds],
    });
  }

  restore(snapshot: Uint8Array): Result<void> {
    return decodeJobSnapshot(snapshot).map((decoded) => {
      this.#highestTerm = decoded.highestTerm;
      this.#records = new Map(
        decoded.records.map((record) => [record.specification.jobId, record]),
      );
      this.#endedJobIds = new Set(decoded.endedJobIds);
      this.#liveJobIds.clear();
      decoded.records.forEach((record) => this.#updateLive(record));
    });
  }

  #dispatch(command: JobCommand): JobCommandOutcome {
    if ("term" in command && command.term < this.#highestTerm) {
      return refused("a leader of a higher term has begun");
    }
    switch (command.kind) {
      case "termBegan":
        this.#highestTerm = command.term;
        return APPLIED;
      case "submitted":
        return this.#submit(command);
      case "cancelled":
        return this.#cancel(command);
      case "attemptIntended":
        return this.#intendAttempt(command);
      case "attemptStarted":
        return this.#startAttempt(command);
      case "attemptEnded":
        return this.#endAttempt(command);
      case "ended":
        return this.#endJob(command);
      case "transferIntended":
        return this.#intendTransfer(command);
      case "transferAccepted":
        return this.#acceptTransfer(command);
    }
  }

  #submit(command: CommandOf<"submitted">): JobCommandOutcome {
    const { specification } = command;
    const existing = this.#records.get(specification.jobId);
    if (existing === undefined || isReturning(existing, command)) {
      const record = newRecord(command);
      this.#endedJobIds.delete(specification.jobId);
      this.#put(record);
      return { kind: "applied", record };
    }
    if (isSameContent(existing, command)) {
      return { kind: "existing", record: existing };
    }
    return {
      kind: "refused",
      error: "identityReused",
      detail: `job ${specification.jobId} was submitted with different content`,
    };
  }

  #cancel(command: CommandOf<"cancelled">): JobCommandOutcome {
    const record = this.#records.get(command.jobId);
    if (record === undefined) {
      return {
        kind: "refused",
        error: "notFound",
        detail: `no job ${command.jobId}`,
      };
    }
    if (record.end !== undefined || record.isCancelled) {
      return { kind: "existing", record };
    }
    return this.#change(record, { isCancelled: true });
  }

  #intendAttempt(command: CommandOf<"attemptIntended">): JobCommandOutcome {
    const record = this.#records.get(command.jobId);
    if (record === undefined || !isOwned(record) || record.isCancelled) {
      return refused("the job can't be started");
    }
    if (record.openAttempt !== undefined) {
      return refused("an earlier attempt is still open");
    }
    if (command.attempt <= record.attemptsUsed) {
      return refused("the attempt number was used before");
    }
    return this.#change(record, {
      attemptsUsed: command.attempt,
      openAttempt: {
        attempt: command.attempt,
        term: command.term,
        placements: command.placements,
        resources: command.resources,
        configurationVersion: command.configurationVersion,
        intendedAtMs: command.atMs,
      },
    });
  }

  #startAttempt(command: CommandOf<"attemptStarted">): JobCommandOutcome {
    const record = this.#records.get(command.jobId);
    const open = record?.openAttempt;
    if (record === undefined || open?.attempt !== command.attempt) {
      return refused("the attempt isn't open");
    }
    return this.#change(record, {
      openAttempt: { ...open, startedAtMs: command.atMs },
    });
  }

  /** If no attempt up to this one is open, only marks the number as used. */
  #endAttempt(command: CommandOf<"attemptEnded">): JobCommandOutcome {
    const record = this.#records.get(command.jobId);
    if (record === undefined) {
      return refused("there is no such job");
    }
    const attemptsUsed = Math.max(record.attemptsUsed, command.attempt);
    const failures = record.failures + (command.hasFailed ? 1 : 0);
    const open = record.openAttempt;
    if (open === undefined || open.attempt > command.attempt) {
      return this.#change(record, { attemptsUsed });
    }
    const { openAttempt: _closed, ...rest } = record;
    if (command.hasSucceeded === true) {
      this.#retire(command.jobId, command.atMs);
    }
    return this.#put({
      ...rest,
      ...(command.hasSucceeded === true
        ? { end: { outcome: "succeeded" as const, atMs: command.atMs } }
        : {}),
      attemptsUsed,
      failures,
      pastAttempts: this.#appendPastAttempt(record, {
        ...open,
        endedAtMs: command.atMs,
        detail: command.detail,
      }),
    });
  }

  #endJob(command: CommandOf<"ended">): JobCommandOutcome {
    const record = this.#records.get(command.jobId);
    if (record === undefined || record.transfer !== undefined) {
      return refused("the job isn't in this data centre");
    }
    if (record.end !== undefined) {
      return { kind: "existing", record };
    }
    if (record.openAttempt !== undefined) {
      return refused("an attempt is still open");
    }
    const { outcome, error, detail, atMs } = command;
    this.#retire(command.jobId, atMs);
    return this.#change(record, {
      end: {
        outcome,
        atMs,
        ...(error === undefined ? {} : { error }),
        ...(detail === undefined ? {} : { detail }),
      },
    });
  }

  #intendTransfer(command: CommandOf<"transferIntended">): JobCommandOutcome {
    const record = this.#records.get(command.jobId);
    if (record === undefined || !isOwned(record) || record.isCancelled) {
      return refused("the job can't be transferred");
    }
    if (record.openAttempt !== undefined) {
      return refused("an attempt is still open");
    }
    return this.#change(record, {
      transfer: {
        toDataCentre: command.toDataCentre,
        intendedAtMs: command.atMs,
      },
    });
  }

  #acceptTransfer(command: CommandOf<"transferAccepted">): JobCommandOutcome {
    const record = this.#records.get(command.jobId);
    if (record?.transfer === undefined) {
      return refused("no transfer was intended");
    }
    if (record.isCancelled && !command.isCancellationPassedOn) {
      return refused("the cancellation must be forwarded first");
    }
    this.#retire(command.jobId, command.atMs);
    return this.#change(record, {
      transfer: { ...record.transfer, acceptedAtMs: command.atMs },
    });
  }

  #change(record: JobRecord, change: Partial<JobRecord>): JobCommandOutcome {
    return this.#put({ ...record, ...change });
  }

  #put(record: JobRecord): JobCommandOutcome {
    this.#records.set(record.specification.jobId, record);
    this.#updateLive(record);
    return { kind: "applied", record };
  }

  #updateLive(record: JobRecord): void {
    const { jobId } = record.specification;
    const hasLeft = record.end !== undefined ||
      record.transfer?.acceptedAtMs !== undefined;
    if (hasLeft) {
      this.#liveJobIds.delete(jobId);
    } else {
      this.#liveJobIds.add(jobId);
    }
  }

  #appendPastAttempt(record: JobRecord, ended: AttemptRecord): AttemptRecord[] {
    return [...record.pastAttempts, ended]
      .slice(-this.#options.pastAttemptsLimit);
  }

  /** Records that a job ended or moved; drops those past the limits. */
  #retire(jobId: JobId, atMs: number): void {
    this.#endedJobIds.delete(jobId);
    this.#endedJobIds.add(jobId);
    for (const oldest of this.#endedJobIds) {
      const isOverLimit = this.#endedJobIds.size > this.#options.endedLimit;
      if (oldest === jobId || !(isOverLimit || this.#isOld(oldest, atMs))) {
        return;
      }
      this.#endedJobIds.delete(oldest);
      this.#records.delete(oldest);
    }
  }

  #isOld(jobId: JobId, atMs: number): boolean {
    const record = this.#records.get(jobId);
    const leftAtMs = record?.end?.atMs ?? record?.transfer?.acceptedAtMs ?? 0;
    return leftAtMs + this.#options.endedRetentionMs < atMs;
  }
}

function newRecord(command: CommandOf<"submitted">): JobRecord {
  return {
    specification: command.specification,
    submittedAtMs: command.submittedAtMs,
    transfers: command.transfers,
    attemptsUsed: command.attemptsUsed,
    failures: 0,
    pastAttempts: [],
    isCancelled: false,
  };
}

/** Whether a job that was moved away is being transferred back. */
function isReturning(
  existing: JobRecord,
  command: CommandOf<"submitted">,
): boolean {
  return existing.transfer !== undefined &&
    command.transfers > existing.transfers &&
    isSameContent(existing, command);
}

function isSameContent(
  existing: JobRecord,
  command: CommandOf<"submitted">,
): boolean {
  return isDeepStrictEqual(existing.specification, command.specification);
}

function refused(detail: string): JobCommandOutcome {
  return { kind: "refused", error: "conflict", detail };
}
