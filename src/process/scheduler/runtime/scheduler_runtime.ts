/**
 * The scheduler on one instance: schedules for its data centre while the
 * instance leads the log, and otherwise forwards reports and queries to the
 * leader.
 *
 * @module
 */

import { Left, Right } from "purify-ts/Either";
import type { Clock, Timer } from "../../../base/clock.ts";
import { type EventLog, SILENT_EVENT_LOG } from "../../../base/event_log.ts";
import type { DataCentreId, JobId } from "../../../base/identity.ts";
import {
  failure,
  type Result,
  SesameError,
} from "../../../base/sesame_error.ts";
import type { PeerNetwork } from "../../../connection/peer_network.ts";
import type { ConfigurationSource } from "../../configuration/configuration_source.ts";
import type { ReplicatedLog } from "../../replication/replicated_log.ts";
import type { JobSpecification } from "../core/job.ts";
import {
  findMisfit,
  findUnknownName,
  homeDataCentre,
} from "./data_centre_choice.ts";
import type { DecisionCoreFactory } from "./decision_core.ts";
import { CallHandler } from "./call_handler.ts";
import type { JobCommand, JobCommandOutcome } from "./job_command.ts";
import type { JobLedger } from "./job_ledger.ts";
import type { JobView, WorkerView } from "./job_view.ts";
import { LeaderSession } from "./leader_session.ts";
import { LEASE_DEFAULTS, type LeaseOptions } from "./lease_rule.ts";
import { type InstanceLocation, PeerCalls } from "./peer_calls.ts";
import type { SchedulerAnswer, SchedulerCall } from "./scheduler_message.ts";
import type { OmittedCheck } from "./session_context.ts";
import type { WorkerClient } from "./worker_client.ts";
import type { WorkerReport } from "./worker_report.ts";
import { WorkerTable } from "./worker_table.ts";

/** How often the role is checked, in addition to every status change. */
const ROLE_CHECK_PERIOD_MS = 500;

/** How long a worker stays listed after its last message. */
const WORKER_RETENTION_MS = 600_000;

/** How long one instance may take to answer another. */
const PEER_TIMEOUT_MS = 1_500;

/** Options of {@link SchedulerRuntime}. */
export interface SchedulerRuntimeOptions {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  /** Every instance of the system, including this one. */
  readonly instances: readonly InstanceLocation[];
  readonly network: PeerNetwork;
  /** The data centre's log, whose state machine is `ledger`. */
  readonly log: ReplicatedLog<JobCommand, JobCommandOutcome>;
  readonly ledger: JobLedger;
  readonly configuration: ConfigurationSource;
  readonly client: WorkerClient;
  readonly createCore: DecisionCoreFactory;
  readonly events?: EventLog;
  readonly lease?: Partial<LeaseOptions>;
  /** Safety checks to skip; only for tests. */
  readonly omittedChecks?: readonly OmittedCheck[];
}

/** An accepted submission or cancellation. */
export interface JobAccepted {
  /** False if an earlier call had the same effect, or the job had ended. */
  readonly isNew: boolean;
  readonly job: JobView;
}

/** The result of a query, and the data centres that did not answer. */
export interface QueryResult<T> {
  readonly value: T;
  readonly unaskedDataCentres: readonly DataCentreId[];
}

/** The scheduler on one instance. */
export class SchedulerRuntime {
  readonly #options: SchedulerRuntimeOptions;
  readonly #lease: LeaseOptions;
  readonly #workers = new WorkerTable();
  readonly #peers: PeerCalls;
  readonly #callHandler: CallHandler;
  readonly #roleTimer: Timer;
  readonly #statuses: { unsubscribe(): void };
  #session: LeaderSession | undefined;
  #sessionTerm = 0;
  #nextSessionAtMs = 0;
  #isClosed = false;

  constructor(options: SchedulerRuntimeOptions) {
    this.#options = options;
    this.#lease = { ...LEASE_DEFAULTS, ...options.lease };
    this.#peers = new PeerCalls({
      ...options,
      timeoutMs: PEER_TIMEOUT_MS,
      onCall: (call, options) => this.#callHandler.handle(call, options),
      onWorkerReport: (report) => this.#recordReport(report),
    });
    this.#callHandler = new CallHandler({
      ...options,
      selfId: options.network.selfId,
      workers: this.#workers,
      session: () => this.#session,
      callInstance: (to, call) =>
        this.#peers.call(to, call, { isPassedOn: true }),
      callDataCentre: (dataCentre, call) =>
        this.#callDataCentre(dataCentre, call),
    });
    this.#statuses = options.log.statuses.subscribe({
      next: () => this.#updateRole(),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#roleTimer = options.clock.every(
      ROLE_CHECK_PERIOD_MS,
      () => this.#updateRole(),
    );
    this.#updateRole();
  }

  /** Records a worker's report and forwards it to the leader. */
  acceptWorkerReport(report: WorkerReport): void {
    this.#recordReport(report);
    const { leaderId } = this.#options.log.status();
    if (leaderId !== undefined && leaderId !== this.#selfId) {
      this.#peers.forwardReport(leaderId, report);
    }
  }

  /** Queues a job in its home data centre; a resubmission is accepted too. */
  async submit(specification: JobSpecification): Promise<Result<JobAccepted>> {
    const { configuration, clock } = this.#options;
    const { document } = configuration.current();
    const unknown = findUnknownName(specification, document);
    if (unknown !== undefined) {
      return failure("invalid", { detail: unknown });
    }
    const misfit = findMisfit(specification, document);
    if (misfit !== undefined) {
      const refusal = await this.#refuseMisfit(specification.jobId, misfit);
      if (refusal !== undefined) {
        return refusal;
      }
    }
    const home = homeDataCentre(specification, document) ??
      this.#options.dataCentre;
    const answer = await this.#callDataCentre(home, {
      kind: "submit",
      specification,
      submittedAtMs: clock.nowMs(),
      transfers: 0,
      attemptsUsed: 0,
    });
    return answer.chain(asAccepted);
  }

  /** Refuses a job that never fits, unless it was accepted when it did fit. */
  async #refuseMisfit(
    jobId: JobId,
    detail: string,
  ): Promise<Result<JobAccepted> | undefined> {
    const known = await this.findJob(jobId);
    return known.caseOf({
      Left: (error) =>
        error.kind === "notFound"
          ? failure<JobAccepted>("neverFits", { detail })
          : Left(error),
      Right: () => undefined,
    });
  }

  /** Cancels a job in any data centre; has no effect on one that has ended. */
  async cancel(jobId: JobId): Promise<Result<JobAccepted>> {
    const found = await this.findJob(jobId);
    if (found.isLeft()) {
      return Left(found.extract());
    }
    const { dataCentre } = found.unsafeCoerce().value;
    const answer = await this.#callDataCentre(dataCentre, {
      kind: "cancel",
      jobId,
    });
    return answer.chain(asAccepted);
  }

  /**
   * Looks a job up in this data centre, then in the others. `notFound` only if
   * all of them answered; else `unavailable`.
   */
  async findJob(jobId: JobId): Promise<Result<QueryResult<JobView>>> {
    const call: SchedulerCall = { kind: "job", jobId };
    const own = await this.#callDataCentre(this.#options.dataCentre, call);
    const ownJob = own.chain(asAccepted).toMaybe().extract()?.job;
    if (ownJob !== undefined && ownJob.state !== "moved") {
      return Right({ value: ownJob, unaskedDataCentres: [] });
    }
    const { answers, unaskedDataCentres } = await this.#callOthers(call);
    const jobs = answers.flatMap((answer) =>
      answer.kind === "job" ? [answer.job] : []
    );
    const value = jobs.find((job) => job.state !== "moved") ?? ownJob ??
      jobs[0];
    if (value !== undefined) {
      return Right({ value, unaskedDataCentres });
    }
    return unaskedDataCentres.length === 0
      ? failure("notFound", { detail: `no job ${jobId}` })
      : failure("unavailable", {
        detail: `no job ${jobId} in the data centres that answered`,
        facts: { unaskedDataCentres },
      });
  }

  /** The `limit` newest jobs of all data centres that answer. */
  async listJobs(limit: number): Promise<QueryResult<readonly JobView[]>> {
    const call: SchedulerCall = { kind: "jobs", limit };
    const { answers, unaskedDataCentres } = await this.#callAll(call);
    const value = answers
      .flatMap((answer) => answer.kind === "jobs" ? answer.jobs : [])
      .sort((left, right) => right.submittedAtMs - left.submittedAtMs)
      .slice(0, limit);
    return { value, unaskedDataCentres };
  }

  /** The workers of all data centres that answer. */
  async listWorkers(): Promise<QueryResult<readonly WorkerView[]>> {
    const call: SchedulerCall = { kind: "workers" };
    const { answers, unaskedDataCentres } = await this.#callAll(call);
    const value = answers
      .flatMap((answer) => answer.kind === "workers" ? answer.workers : []);
    return { value, unaskedDataCentres };
  }

  /** Whether this instance leads and has finished recovery. */
  get isScheduling(): boolean {
    return this.#session !== undefined && !this.#session.isRecovering;
  }

  /**
   * Whether this instance leads, has finished recovery and has no gang start
   * in progress. Later starts are decided under the configuration in force.
   */
  get hasSettled(): boolean {
    return this.#session !== undefined && !this.#session.isRecovering &&
      !this.#session.hasStartsInProgress();
  }

  /** Stops scheduling and answering; running tasks go on under leases. */
  close(): Promise<void> {
    this.#isClosed = true;
    this.#endSession();
    this.#statuses.unsubscribe();
    this.#roleTimer.close();
    this.#peers.close();
    this.#workers.close();
    return Promise.resolve();
  }

  get #selfId(): string {
    return this.#options.network.selfId;
  }

  #recordReport(report: WorkerReport): void {
    this.#workers.acceptReport(report, this.#options.clock.nowMs());
  }

  #updateRole(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#workers.removeSilent(nowMs - WORKER_RETENTION_MS);
    const { role, term } = this.#options.log.status();
    const leads = role === "leader" && !this.#isClosed;
    if (this.#session !== undefined && (!leads || term !== this.#sessionTerm)) {
      this.#endSession();
    }
    const isDue = nowMs >= this.#nextSessionAtMs;
    if (leads && isDue && this.#session === undefined) {
      this.#beginSession(term);
    }
  }

  #beginSession(term: number): void {
    const { createCore, events, omittedChecks } = this.#options;
    const session = new LeaderSession({
      ...this.#options,
      term,
      core: createCore(),
      workers: this.#workers,
      events: events ?? SILENT_EVENT_LOG,
      lease: this.#lease,
      callDataCentre: (dataCentre, call) =>
        this.#callDataCentre(dataCentre, call),
      onFailure: (error) => this.#failSession(session, error),
      omittedChecks: omittedChecks ?? [],
    });
    this.#session = session;
    this.#sessionTerm = term;
    session.run().catch((error) => this.#failSession(session, error));
  }

  /** Hands leadership over; begins no new session for one lease duration. */
  #failSession(session: LeaderSession, error: unknown): void {
    if (this.#session !== session) {
      return;
    }
    const { events, clock, log } = this.#options;
    events?.emit("schedulingFailed", {
      term: this.#sessionTerm,
      detail: error instanceof Error ? error.message : String(error),
    });
    this.#endSession();
    this.#nextSessionAtMs = clock.nowMs() + this.#lease.leaseMs;
    void log.handOver();
  }

  #endSession(): void {
    this.#session?.close();
    this.#session = undefined;
  }

  #callDataCentre(
    dataCentre: DataCentreId,
    call: SchedulerCall,
  ): Promise<Result<SchedulerAnswer>> {
    if (dataCentre !== this.#options.dataCentre) {
      return this.#peers.callDataCentre(dataCentre, call);
    }
    return this.#callHandler.handle(call, { isPassedOn: false })
      .then((answer) => Right(answer));
  }

  async #callOthers(call: SchedulerCall) {
    const others = new Set(
      this.#options.instances.map((instance) => instance.dataCentre),
    );
    others.delete(this.#options.dataCentre);
    const calls = [...others].map(async (dataCentre) => ({
      dataCentre,
      answer: (await this.#callDataCentre(dataCentre, call)).toMaybe()
        .extract(),
    }));
    const results = await Promise.all(calls);
    return {
      answers: results.flatMap(({ answer }) => answer ?? []),
      unaskedDataCentres: results
        .filter(({ answer }) => answer === undefined)
        .map(({ dataCentre }) => dataCentre),
    };
  }

  async #callAll(call: SchedulerCall) {
    const [own, others] = await Promise.all([
      this.#callHandler.handle(call, { isPassedOn: false }),
      this.#callOthers(call),
    ]);
    return { ...others, answers: [own, ...others.answers] };
  }
}

function asAccepted(answer: SchedulerAnswer): Result<JobAccepted> {
  switch (answer.kind) {
    case "job":
      return Right({ isNew: answer.isNew, job: answer.job });
    case "failed":
      return failure(answer.error, { detail: answer.detail });
    case "jobs":
    case "workers":
      return Left(new SesameError("internal"));
  }
}
