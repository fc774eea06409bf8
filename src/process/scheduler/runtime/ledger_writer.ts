/**
 * Writes a leader's commands to the log: those of one job in order, each
 * retried until it is known to be committed.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type { JobId } from "../../../base/identity.ts";
import type { ReplicatedLog } from "../../replication/replicated_log.ts";
import type { JobCommand, JobCommandOutcome } from "./job_command.ts";
import { JOB_COMMAND_FORMAT_VERSION } from "./job_command.ts";

/** How long one proposal may take. */
const PROPOSAL_TIMEOUT_MS = 2_000;

/** Wait before a failed proposal is retried. */
const PROPOSAL_RETRY_MS = 100;

type LeaderCommand = Extract<JobCommand, { term: number }>;

/** A leader's command without the fields that the writer adds. */
export type LeaderCommandBody = LeaderCommand extends infer Command
  ? Command extends LeaderCommand
    ? Omit<Command, "formatVersion" | "atMs" | "term">
  : never
  : never;

/** Options of {@link LedgerWriter}. */
export interface LedgerWriterOptions {
  readonly clock: Clock;
  readonly log: ReplicatedLog<JobCommand, JobCommandOutcome>;
  readonly term: number;
  readonly isLeading: () => boolean;
}

/** Writes the commands of one leader session. */
export class LedgerWriter {
  readonly #options: LedgerWriterOptions;
  readonly #pendingWrites = new Map<JobId, Promise<unknown>>();

  constructor(options: LedgerWriterOptions) {
    this.#options = options;
  }

  /**
   * Commits a command after the earlier ones of its job, retrying until it is
   * committed; undefined when leadership ended first.
   */
  write(body: LeaderCommandBody): Promise<JobCommandOutcome | undefined> {
    const jobId = "jobId" in body ? body.jobId : "";
    const previous = this.#pendingWrites.get(jobId) ?? Promise.resolve();
    const done = previous.then(() => this.#commit(body));
    this.#pendingWrites.set(jobId, done);
    void done.then(() => {
      if (this.#pendingWrites.get(jobId) === done) {
        this.#pendingWrites.delete(jobId);
      }
    });
    return done;
  }

  async #commit(
    body: LeaderCommandBody,
  ): Promise<JobCommandOutcome | undefined> {
    const { clock, log, term, isLeading } = this.#options;
    while (isLeading()) {
      const atMs = clock.nowMs();
      const command = {
        ...body,
        formatVersion: JOB_COMMAND_FORMAT_VERSION,
        atMs,
        term,
      } as LeaderCommand;
      const result = await log.propose(command, {
        deadlineMs: atMs + PROPOSAL_TIMEOUT_MS,
      });
      if (result.isRight()) {
        return result.extract();
      }
      await delay(clock, PROPOSAL_RETRY_MS);
    }
    return undefined;
  }
}

/** Resolves after `delayMs` milliseconds of the clock. */
export function delay(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => void clock.after(delayMs, resolve));
}
