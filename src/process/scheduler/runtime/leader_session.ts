/**
 * One leader session of a data centre: recovers what is running, then feeds
 * events to the core and carries out its decisions until leadership ends.
 *
 * @module
 */

import type { Clock, Timer } from "../../../base/clock.ts";
import type { EventLog } from "../../../base/event_log.ts";
import type { DataCentreId, JobId } from "../../../base/identity.ts";
import type { ConfigurationSource } from "../../configuration/configuration_source.ts";
import type { ReplicatedLog } from "../../replication/replicated_log.ts";
import type { WaitReason } from "../core/scheduler_decision.ts";
import type { SchedulerEvent, TaskReference } from "../core/scheduler_event.ts";
import { CoreDriver } from "./core_driver.ts";
import { toCoreRecord } from "./core_record.ts";
import type { DecisionCore } from "./decision_core.ts";
import { DecisionRunner } from "./decision_runner.ts";
import { GangTable } from "./gang_table.ts";
import type { JobCommand, JobCommandOutcome } from "./job_command.ts";
import { JobIntake } from "./job_intake.ts";
import type { JobLedger } from "./job_ledger.ts";
import {
  JobTransferrer,
  type JobTransferrerOptions,
} from "./job_transferrer.ts";
import type { LeaseOptions } from "./lease_rule.ts";
import { delay, LedgerWriter } from "./ledger_writer.ts";
import { Recovery } from "./recovery.ts";
import type { OmittedCheck, SessionContext } from "./session_context.ts";
import { StartPermission } from "./start_permission.ts";
import { WorkerCaller } from "./worker_caller.ts";
import type { WorkerClient } from "./worker_client.ts";
import type { WorkerEntry, WorkerTable } from "./worker_table.ts";
import { WorkerWatcher } from "./worker_watcher.ts";

/** How often leases, workers, start permission and deadlines are checked. */
const TICK_PERIOD_MS = 250;

/** Delay from an event to its tick, so that one tick serves several events. */
const EVENT_TICK_DELAY_MS = 20;

/** How often jobs awaiting transfer are checked. */
const TRANSFER_CHECK_PERIOD_MS = 1_000;

/** Wait before a failed read barrier is retried. */
const CATCH_UP_RETRY_MS = 100;

/** Options of {@link LeaderSession}. */
export interface LeaderSessionOptions {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  readonly term: number;
  readonly core: DecisionCore;
  readonly log: ReplicatedLog<JobCommand, JobCommandOutcome>;
  readonly ledger: JobLedger;
  readonly workers: WorkerTable;
  readonly client: WorkerClient;
  readonly configuration: ConfigurationSource;
  readonly events: EventLog;
  readonly lease: LeaseOptions;
  /** Calls another data centre. */
  readonly callDataCentre: JobTransferrerOptions["callDataCentre"];
  /** Called when the core throws, after the session was closed. */
  readonly onFailure: (error: unknown) => void;
  readonly omittedChecks: readonly OmittedCheck[];
}

/** One leader session. */
export class LeaderSession {
  readonly #options: LeaderSessionOptions;
  readonly #context: SessionContext;
  readonly #gangs: GangTable;
  readonly #watcher: WorkerWatcher;
  readonly #runner: DecisionRunner;
  readonly #transferrer: JobTransferrer;
  readonly #intake: JobIntake;
  readonly #driver: CoreDriver;
  readonly #cleanups: (() => void)[] = [];
  #isRecovering = true;
  #isClosed = false;
  #permittedUntilMs = 0;
  #eventTickTimer: Timer | undefined;
  #nextTransferCheckAtMs = 0;

  constructor(options: LeaderSessionOptions) {
    this.#options = options;
    this.#context = this.#makeContext();
    this.#gangs = new GangTable(this.#context);
    this.#watcher = new WorkerWatcher(this.#context);
    this.#runner = new DecisionRunner({
      context: this.#context,
      gangs: this.#gangs,
      ledger: options.ledger,
    });
    this.#driver = new CoreDriver({
      core: options.core,
      isLeading: () => this.#context.isLeading(),
      onDecision: (decision) => this.#runner.carryOut(decision),
      onFailure: (error) => this.#fail(error),
    });
    this.#transferrer = new JobTransferrer({
      ...options,
      writer: this.#context.writer,
      skipsAcknowledgement: this.#context.omits("transferOnce"),
    });
    this.#intake = new JobIntake({
      ...options,
      transferrer: this.#transferrer,
      feed: this.#context.feed,
    });
  }

  get isRecovering(): boolean {
    return this.#isRecovering;
  }

  /** Whether the start of a gang is in progress. */
  hasStartsInProgress(): boolean {
    return this.#gangs.hasStartsInProgress();
  }

  waitReason(jobId: JobId): WaitReason | undefined {
    if (this.#isRecovering) {
      return "recovering";
    }
    return this.#intake.awaitingTransfer.has(jobId)
      ? "dataCentreOut"
      : this.#options.core.waitReason(jobId);
  }

  isQuarantined(workerId: string): boolean {
    return this.#runner.isQuarantined(workerId);
  }

  /** Recovers; returns once the session schedules or leadership has ended. */
  async run(): Promise<void> {
    const { clock, lease } = this.#options;
    const began = await this.#context.writer.write({ kind: "termBegan" });
    if (began?.kind !== "applied") {
      return;
    }
    await this.#catchUp();
    const renewal = clock.every(
      lease.renewPeriodMs,
      () => this.#gangs.renewLeases(),
    );
    this.#cleanups.push(() => renewal.close());
    await this.#recover();
    if (this.#context.isLeading()) {
      this.#startScheduling();
    }
  }

  close(): void {
    this.#isClosed = true;
    this.#cleanups.forEach((close) => close());
    this.#cleanups.length = 0;
    this.#eventTickTimer?.close();
  }

  /** Returns once all commands committed by earlier leaders are applied. */
  async #catchUp(): Promise<void> {
    const { clock, lease, log } = this.#options;
    while (this.#context.isLeading()) {
      const deadlineMs = clock.nowMs() + lease.leaseMs;
      const barrier = await log.readBarrier({ deadlineMs });
      if (barrier.isRight()) {
        return;
      }
      await delay(clock, CATCH_UP_RETRY_MS);
    }
  }

  async #recover(): Promise<void> {
    const recovery = new Recovery({
      context: this.#context,
      onIntact: (gang) => this.#gangs.adopt(gang),
      onBroken: (gang) => this.#gangs.stopBroken(gang),
    });
    const gangs = [...this.#options.ledger.liveRecords()]
      .flatMap((record) => this.#gangs.recover(record) ?? []);
    await recovery.run(gangs);
  }

  /** Feeds the recovered state to the core and starts scheduling. */
  #startScheduling(): void {
    const { clock, core, workers, events, term } = this.#options;
    const atMs = clock.nowMs();
    const records = this.#intake.prepareInitialRecords();
    this.#isRecovering = false;
    this.#feedConfiguration();
    core.restore(records.map(toCoreRecord), { atMs, recoverUntilMs: atMs });
    this.#joinKnownWorkers(atMs);
    [...workers.entries()].forEach((entry) => this.#gangs.reconcile(entry));
    records.filter((record) => record.isCancelled)
      .forEach((record) => this.#intake.feedCancelled(record));
    this.#subscribe();
    events.emit("schedulingBegan", { term, jobs: records.length });
    this.#tick();
  }

  /** Subscribes to all sources of events and starts the tick timer. */
  #subscribe(): void {
    const { clock, configuration, ledger, workers } = this.#options;
    this.#observe(
      ledger.applied,
      (command) => this.#intake.handleApplied(command),
    );
    this.#observe(configuration.versions, () => this.#feedConfiguration());
    this.#observe(workers.updates, (update) => {
      this.#watcher.handleUpdate(update);
      this.#gangs.reconcile(update.entry);
    });
    const tick: Timer = clock.every(TICK_PERIOD_MS, () => this.#tick());
    this.#cleanups.push(() => tick.close());
  }

  #observe<T>(
    stream: { subscribe: Subscribe<T> },
    action: (value: T) => void,
  ): void {
    const subscription = stream.subscribe({
      next: action,
      error: (error) => {
        throw error;
      },
      complete: () => undefined,
    });
    this.#cleanups.push(() => subscription.unsubscribe());
  }

  #joinKnownWorkers(atMs: number): void {
    const { workers, lease } = this.#options;
    for (const entry of workers.entries()) {
      if (entry.anchor.receivedAtMs + lease.leaseMs >= atMs) {
        this.#watcher.join(entry, this.#runningTasks(entry));
      }
    }
  }

  /** The worker's running tasks that belong to running gangs. */
  #runningTasks(entry: WorkerEntry): TaskReference[] {
    return entry.tasks
      .filter((task) =>
        task.state === "running" &&
        this.#gangs.get(task.jobId, task.attempt)?.phase === "running"
      )
      .map(({ jobId, attempt, taskIndex }) => ({ jobId, attempt, taskIndex }));
  }

  #tick(): void {
    if (!this.#context.isLeading()) {
      return;
    }
    this.#gangs.expireLeases();
    this.#watcher.loseSilentWorkers();
    const atMs = this.#options.clock.nowMs();
    const permittedUntilMs = this.#context.startPermission.permittedUntilMs();
    if (permittedUntilMs > this.#permittedUntilMs) {
      this.#permittedUntilMs = permittedUntilMs;
      this.#driver.feed({
        kind: "startPermissionExtended",
        atMs,
        permittedUntilMs,
      });
    }
    this.#driver.feed({ kind: "clockTicked", atMs });
    if (atMs >= this.#nextTransferCheckAtMs) {
      this.#nextTransferCheckAtMs = atMs + TRANSFER_CHECK_PERIOD_MS;
      this.#intake.returnToCore();
      this.#transferrer.tick(this.#intake.awaitingTransfer);
    }
  }

  #feedConfiguration(): void {
    this.#driver.feed({
      kind: "configurationChanged",
      atMs: this.#options.clock.nowMs(),
      configuration: this.#options.configuration.current(),
    });
  }

  /**
   * Feeds an event. After recovery, a tick follows shortly after every event
   * except usage reports.
   */
  #feed(event: SchedulerEvent): void {
    this.#driver.feed(event);
    if (this.#isRecovering || event.kind === "workerUsageReported") {
      return;
    }
    this.#eventTickTimer ??= this.#options.clock.after(
      EVENT_TICK_DELAY_MS,
      () => {
        this.#eventTickTimer = undefined;
        this.#tick();
      },
    );
  }

  #fail(error: unknown): void {
    this.close();
    this.#options.onFailure(error);
  }

  #makeContext(): SessionContext {
    const { clock, configuration, dataCentre, ledger, log, term } =
      this.#options;
    const { client, events, lease, omittedChecks, workers } = this.#options;
    const isLeading = () => this.#isLeading();
    const leadershipEndMs = () => isLeading() ? log.status().leaseEndMs : 0;
    return {
      clock,
      term,
      lease,
      events,
      workers,
      caller: new WorkerCaller({
        clock,
        client,
        workers,
        lease,
        term,
        leadershipEndMs,
      }),
      writer: new LedgerWriter({ clock, log, term, isLeading }),
      startPermission: new StartPermission({ configuration, dataCentre }),
      isLeading,
      openAttempt: (jobId) => ledger.get(jobId)?.openAttempt,
      feed: (event) => this.#feed(event),
      omits: (check) => omittedChecks.includes(check),
    };
  }

  #isLeading(): boolean {
    const status = this.#options.log.status();
    return !this.#isClosed && status.role === "leader" &&
      status.term === this.#options.term;
  }
}

type Subscribe<T> = (subscriber: {
  next: (value: T) => void;
  error: (error: Error) => void;
  complete: () => void;
}) => { unsubscribe(): void };
