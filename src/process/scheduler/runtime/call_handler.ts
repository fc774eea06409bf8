/**
 * Handles calls about a data centre's jobs and workers, on any of its
 * instances.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type {
  DataCentreId,
  InstanceId,
  JobId,
} from "../../../base/identity.ts";
import type { Result, SesameError } from "../../../base/sesame_error.ts";
import type { ReplicatedLog } from "../../replication/replicated_log.ts";
import {
  JOB_COMMAND_FORMAT_VERSION,
  type JobCommand,
  type JobCommandOutcome,
} from "./job_command.ts";
import type { JobLedger } from "./job_ledger.ts";
import type { JobRecord } from "./job_record.ts";
import { type JobView, viewJob, type WorkerView } from "./job_view.ts";
import type { LeaderSession } from "./leader_session.ts";
import type { SchedulerAnswer, SchedulerCall } from "./scheduler_message.ts";
import type { WorkerTable } from "./worker_table.ts";

/** How long a submission or cancellation may take to be committed. */
const PROPOSAL_TIMEOUT_MS = 3_000;

/** Options of {@link CallHandler}. */
export interface CallHandlerOptions {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  readonly selfId: InstanceId;
  readonly log: ReplicatedLog<JobCommand, JobCommandOutcome>;
  readonly ledger: JobLedger;
  readonly workers: WorkerTable;
  /** This instance's leader session, if it leads. */
  readonly session: () => LeaderSession | undefined;
  readonly callInstance: (
    to: InstanceId,
    call: SchedulerCall,
  ) => Promise<Result<SchedulerAnswer>>;
  readonly callDataCentre: (
    dataCentre: DataCentreId,
    call: SchedulerCall,
  ) => Promise<Result<SchedulerAnswer>>;
}

/** Handles calls on one instance. */
export class CallHandler {
  readonly #options: CallHandlerOptions;

  constructor(options: CallHandlerOptions) {
    this.#options = options;
  }

  /** Handles a call; a query that was forwarded isn't forwarded again. */
  async handle(
    call: SchedulerCall,
    options: { isPassedOn: boolean },
  ): Promise<SchedulerAnswer> {
    switch (call.kind) {
      case "submit":
        return await this.#propose({ ...call, kind: "submitted" });
      case "cancel":
        return await this.#cancelHere(call.jobId);
      case "job":
      case "jobs":
      case "workers":
        return await this.#query(call, options);
    }
  }

  async #cancelHere(jobId: JobId): Promise<SchedulerAnswer> {
    const answer = await this.#propose({ kind: "cancelled", jobId });
    const movedTo = answer.kind === "job" && answer.job.state === "moved"
      ? answer.job.movedTo
      : undefined;
    if (movedTo === undefined) {
      return answer;
    }
    const forwarded = await this.#options.callDataCentre(movedTo, {
      kind: "cancel",
      jobId,
    });
    return forwarded.caseOf({
      Right: (value) => value,
      Left: (error) => failedAnswer(error),
    });
  }

  async #propose(body: ProposalBody): Promise<SchedulerAnswer> {
    const { clock, log } = this.#options;
    const atMs = clock.nowMs();
    const command = {
      ...body,
      formatVersion: JOB_COMMAND_FORMAT_VERSION,
      atMs,
    } as JobCommand;
    const result = await log.propose(command, {
      deadlineMs: atMs + PROPOSAL_TIMEOUT_MS,
    });
    return result.caseOf({
      Left: (error) => failedAnswer(error),
      Right: (outcome) => this.#describeOutcome(outcome),
    });
  }

  #describeOutcome(outcome: JobCommandOutcome): SchedulerAnswer {
    if (outcome.kind === "refused") {
      const { error, detail } = outcome;
      return { kind: "failed", error, detail };
    }
    const { record } = outcome;
    return record === undefined
      ? {
        kind: "failed",
        error: "internal",
        detail: "the outcome has no record",
      }
      : {
        kind: "job",
        isNew: outcome.kind === "applied",
        job: this.#view(record),
      };
  }

  /**
   * Forwards a query to the leader, which alone knows why jobs wait; answers it
   * here if the leader can't be reached.
   */
  async #query(
    call: SchedulerCall,
    options: { isPassedOn: boolean },
  ): Promise<SchedulerAnswer> {
    const { leaderId } = this.#options.log.status();
    const knowsLeader = leaderId !== undefined &&
      leaderId !== this.#options.selfId;
    if (knowsLeader && !options.isPassedOn) {
      const answer = await this.#options.callInstance(leaderId, call);
      if (answer.isRight()) {
        return answer.unsafeCoerce();
      }
    }
    return this.#queryHere(call);
  }

  #queryHere(call: SchedulerCall): SchedulerAnswer {
    const { ledger } = this.#options;
    if (call.kind === "workers") {
      return { kind: "workers", workers: this.#viewWorkers() };
    }
    if (call.kind === "jobs") {
      const newest = [...ledger.records()].slice(-call.limit);
      return { kind: "jobs", jobs: newest.map((each) => this.#view(each)) };
    }
    const record = call.kind === "job" ? ledger.get(call.jobId) : undefined;
    return record === undefined
      ? { kind: "failed", error: "notFound", detail: "no such job" }
      : { kind: "job", isNew: false, job: this.#view(record) };
  }

  #view(record: JobRecord): JobView {
    return viewJob(record, {
      dataCentre: this.#options.dataCentre,
      waitReason: this.#options.session()?.waitReason(
        record.specification.jobId,
      ),
    });
  }

  #viewWorkers(): WorkerView[] {
    return [...this.#options.workers.entries()].map((entry) => ({
      ...entry.description,
      dataCentre: this.#options.dataCentre,
      address: entry.address,
      incarnation: entry.incarnation,
      isLeaving: entry.isLeaving,
      isQuarantined:
        this.#options.session()?.isQuarantined(entry.description.workerId) ??
          false,
      heardAtMs: entry.anchor.receivedAtMs,
      runningTasks: entry.tasks
        .filter((task) => task.state === "running").length,
    }));
  }
}

type ProposalBody =
  & Pick<Extract<JobCommand, { kind: "submitted" | "cancelled" }>, "kind">
  & Readonly<Record<string, unknown>>;

function failedAnswer(error: SesameError): SchedulerAnswer {
  return { kind: "failed", error: error.kind, detail: error.message };
}
