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
import { CallAnswerer } from "./call_answerer.ts";
import type { JobCommand, JobCommandOutcome } from "./job_command.ts";
import type { JobLedger } from "./job_ledger.ts";
import type { JobView, WorkerView } from "./job_view.ts";
import { LeaderSession } from "./leader_session.ts";
import { LEASE_DEFAULTS, type LeaseOptions } from "./lease_rule.ts";
import { type InstancePlace, PeerCalls } from "./peer_calls.ts";
import type { SchedulerAnswer, SchedulerCall } from "./scheduler_message.ts";
import type { OmittedCheck } from "./session_context.ts";
import type { WorkerClient } from "./worker_client.ts";
import type { WorkerReport } from "./worker_report.ts";
import { WorkerTable } from "./worker_table.ts";

/** How often the role is checked, in addition to every status change. */
const ROLE_PERIOD_MS = 500;

/** How long a worker stays listed after its last message. */
const WORKER_MEMORY_MS = 600_000;

/** How long one instance may take to answer another. */
const PEER_TIMEOUT_MS = 1_500;

/** Options of {@link SchedulerRuntime}. */
export interface SchedulerRuntimeOptions {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  /** Every instance of the system, including this one. */
  readonly instances: readonly InstancePlace[];
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
export interface Found<T> {
  readonly value: T;
  readonly unaskedDataCentres: readonly DataCentreId[];
}

/** The scheduler on one instance. */
export class SchedulerRuntime {
  readonly #options: SchedulerRuntimeOptions;
  readonly #lease: LeaseOptions;
  readonly #workers = new WorkerTable();
  readonly #peers: PeerCalls;
  readonly #answerer: CallAnswerer;
  readonly #roleTimer: Timer;
  readonly #statuses: { unsubscribe(): void };
  #session: LeaderSession | undefined;
  #sessionTerm = 0;
  #notBeforeMs = 0;
  #isClosed = false;

  constructor(options: SchedulerRuntimeOptions) {
    this.#options = options;
    this.#lease = { ...LEASE_DEFAULTS, ...options.lease };
    this.#peers = new PeerCalls({
      ...options,
      timeoutMs: PEER_TIMEOUT_MS,
      onCall: (call, how) => this.#answerer.answer(call, how),
      onWorkerReport: (report) => this.#takeReport(report),
    });
    this.#answerer = new CallAnswerer({
      ...options,
      selfId: options.network.selfId,
      workers: this.#workers,
      session: () => this.#session,
      askInstance: (to, call) =>
        this.#peers.call(to, call, { isPassedOn: true }),
      askDataCentre: (dataCentre, call) => this.#ask(dataCentre, call),
    });
    this.#statuses = options.log.statuses.subscribe({
      next: () => this.#followRole(),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#roleTimer = options.clock.every(
      ROLE_PERIOD_MS,
      () => this.#followRole(),
    );
    this.#followRole();
  }

  /** Records a worker's report and forwards it to the leader. */
  acceptWorkerReport(report: WorkerReport): void {
    this.#takeReport(report);
    const { leaderId } = this.#options.log.status();
    if (leaderId !== undefined && leaderId !== this.#selfId) {
      this.#peers.passReport(leaderId, report);
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
    const answer = await this.#ask(home, {
      kind: "submit",
      specification,
      submittedAtMs: clock.nowMs(),
      transfers: 0,
      attemptsUsed: 0,
    });
    return answer.chain(asAccepted);
  }

  /** Refuses a job that never fits, unless it was accepted while it did. */
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
    const answer = await this.#ask(dataCentre, { kind: "cancel", jobId });
    return answer.chain(asAccepted);
  }

  /** Looks a job up in this data centre, then in the others. */
  async findJob(jobId: JobId): Promise<Result<Found<JobView>>> {
    const call: SchedulerCall = { kind: "job", jobId };
    const own = await this.#ask(this.#options.dataCentre, call);
    const ownJob = own.chain(asAccepted).toMaybe().extract()?.job;
    if (ownJob !== undefined && ownJob.state !== "moved") {
      return Right({ value: ownJob, unaskedDataCentres: [] });
    }
    const { answers, unaskedDataCentres } = await this.#askOthers(call);
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
  async listJobs(limit: number): Promise<Found<readonly JobView[]>> {
    const call: SchedulerCall = { kind: "jobs", limit };
    const { answers, unaskedDataCentres } = await this.#askAll(call);
    const value = answers
      .flatMap((answer) => answer.kind === "jobs" ? answer.jobs : [])
      .sort((left, right) => right.submittedAtMs - left.submittedAtMs)
      .slice(0, limit);
    return { value, unaskedDataCentres };
  }

  /** The workers of all data centres that answer. */
  async listWorkers(): Promise<Found<readonly WorkerView[]>> {
    const call: SchedulerCall = { kind: "workers" };
    const { answers, unaskedDataCentres } = await this.#askAll(call);
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
      !this.#session.hasStartsUnderWay();
  }

  /** Stops scheduling and answering; running tasks go on until lease end. */
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

  #takeReport(report: WorkerReport): void {
    this.#workers.acceptReport(report, this.#options.clock.nowMs());
  }

  #followRole(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#workers.forgetSilent(nowMs - WORKER_MEMORY_MS);
    const { role, term } = this.#options.log.status();
    const leads = role === "leader" && !this.#isClosed;
    if (this.#session !== undefined && (!leads || term !== this.#sessionTerm)) {
      this.#endSession();
    }
    const isDue = nowMs >= this.#notBeforeMs;
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
      ask: (dataCentre, call) => this.#ask(dataCentre, call),
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
    this.#notBeforeMs = clock.nowMs() + this.#lease.leaseMs;
    void log.handOver();
  }

  #endSession(): void {
    this.#session?.close();
    this.#session = undefined;
  }

  #ask(
    dataCentre: DataCentreId,
    call: SchedulerCall,
  ): Promise<Result<SchedulerAnswer>> {
    if (dataCentre !== this.#options.dataCentre) {
      return this.#peers.askDataCentre(dataCentre, call);
    }
    return this.#answerer.answer(call, { isPassedOn: false })
      .then((answer) => Right(answer));
  }

  async #askOthers(call: SchedulerCall) {
    const others = new Set(
      this.#options.instances.map((instance) => instance.dataCentre),
    );
    others.delete(this.#options.dataCentre);
    const asked = [...others].map(async (dataCentre) => ({
      dataCentre,
      answer: (await this.#ask(dataCentre, call)).toMaybe().extract(),
    }));
    const results = await Promise.all(asked);
    return {
      answers: results.flatMap(({ answer }) => answer ?? []),
      unaskedDataCentres: results
        .filter(({ answer }) => answer === undefined)
        .map(({ dataCentre }) => dataCentre),
    };
  }

  async #askAll(call: SchedulerCall) {
    const [own, others] = await Promise.all([
      this.#answerer.answer(call, { isPassedOn: false }),
      this.#askOthers(call),
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
