/**
 * The work of one leader in its epoch: plans starts, commits changes, and
 * tracks every open run until its end is stored.
 *
 * @module
 */

import type { Timer } from "../../../base/clock.ts";
import type { JobId } from "../../../base/identity.ts";
import type { ReplicatedLog } from "../../replication/mod.ts";
import {
  type BatchCommand,
  type BatchItem,
  type BatchOutcome,
  RunEnd,
  type TaskRef,
  workerIdOf,
  type WorkerKey,
  type WorkerRecord,
} from "../batch_command.ts";
import { plan } from "../decisions/planner.ts";
import type { WorkerCondition } from "../decisions/pool_view.ts";
import { JobPhase } from "../job_record.ts";
import type { WorkerReport } from "../worker_calls.ts";
import { nameJobs } from "./batch_item_names.ts";
import { BatchWriter } from "./batch_writer.ts";
import {
  costOfLateEnd,
  type DelayCostListener,
  DelayDecision,
} from "./delay_decision.ts";
import { PaceMonitor } from "./pace_monitor.ts";
import { describeInheritedRuns } from "./inherited_runs.ts";
import { PlanLog } from "./plan_log.ts";
import { RunEndProof } from "./run_end_proof.ts";
import { RunDriver } from "./run_driver.ts";
import { ShareHistory } from "./share_history.ts";
import { StartSettlement } from "./start_settlement.ts";
import {
  type OpenRunState,
  RunTable,
  StopReason,
  taskKey,
} from "./run_table.ts";
import { WorkerHealth } from "./worker_health.ts";
import { type DepartureStatus, WorkerDepartures } from "./worker_departures.ts";
import type { WorkerLink } from "./worker_link.ts";
import type { LeaderContext } from "./leader_context.ts";
import { WorkerLinks } from "./worker_links.ts";
import { SpeedMonitor } from "./speed_monitor.ts";

/** Options of {@link LeaderSession}. */
export interface LeaderSessionOptions extends LeaderContext {
  readonly log: ReplicatedLog<BatchCommand, BatchOutcome>;
  /** Called with the time that each batch took to commit. */
  readonly onCommit?: (durationMs: number) => void;
  /** Called with the cost of each preemption and of each late end. */
  readonly onDelayCost?: DelayCostListener;
  /** Called once if a commit fails or another leader has taken over. */
  readonly onEnded: (detail: string) => void;
}

/** Where a run was, and what the leader knew when it took the run for over. */
interface RunEndOrigin {
  readonly worker: WorkerKey;
  readonly holder: WorkerKey;
  readonly proof: RunEndProof;
  readonly startsSent: number;
  readonly lateStartLeftMs: number;
}

/** Leads the batch scheduler from its construction until it is closed. */
export class LeaderSession {
  readonly #options: LeaderSessionOptions;
  readonly #writer: BatchWriter;
  readonly #runs: RunTable;
  readonly #driver: RunDriver;
  readonly #health: WorkerHealth;
  readonly #paces: PaceMonitor;
  readonly #speeds: SpeedMonitor;
  readonly #links: WorkerLinks;
  readonly #departures: WorkerDepartures;
  readonly #settlement: StartSettlement;
  readonly #planLog: PlanLog;
  readonly #shares = new ShareHistory();
  /** What the log says of each end that is being committed. */
  readonly #endOrigins = new WeakMap<BatchItem, RunEndOrigin>();
  /** Ended jobs for which `batchJobEnded` was emitted. */
  readonly #reportedOver = new Set<JobId>();
  readonly #ticker: Timer;
  #isClosed = false;

  constructor(options: LeaderSessionOptions) {
    this.#options = options;
    const { clock, state, timing, epoch, events, calls, log } = options;
    this.#health = new WorkerHealth({ clock });
    this.#runs = RunTable.fromState(state, {
      nowMs: clock.nowMs(),
      steadyMs: clock.steadyMs(),
    });
    this.#paces = new PaceMonitor({ runs: this.#runs, state });
    this.#planLog = new PlanLog({ clock, events, state });
    this.#speeds = new SpeedMonitor({
      runs: this.#runs,
      state,
      clock,
      events,
      write: (item) => void this.#writer.write(item),
    });
    this.#settlement = new StartSettlement({ clock, runs: this.#runs });
    this.#writer = new BatchWriter({
      log,
      clock,
      epoch,
      commitTimeoutMs: timing.commitTimeoutMs,
      plan: () => this.#plan(),
      accompany: () => this.#settlement.take(),
      onApplied: (item) => this.#onApplied(item),
      onBatch: (durationMs, items) => this.#recordBatch(durationMs, items),
      onTooLarge: ({ kind }) => events.emit("batchItemTooLarge", { kind }),
      onUnknown: (items) =>
        events.emit("batchOutcomeUnknown", {
          items: items.length,
          ...nameJobs(items),
        }),
      onDeposed: (detail) => this.#end(detail),
    });
    this.#links = new WorkerLinks({
      state,
      clock,
      calls,
      events,
      timing,
      epoch,
      mayLead: () => this.isCurrent(),
      onReport: (from, report, sentAtMs) =>
        this.#handleReport(from, report, sentAtMs),
      onReached: (key, { isFirst }) => {
        if (isFirst) {
          this.#driver.revokeUnansweredStarts(key, { hasAnswered: true });
        }
        this.#writer.requestPlan();
      },
    });
    this.#driver = new RunDriver({
      runs: this.#runs,
      state,
      clock,
      calls,
      events,
      timing,
      epoch,
      linkOf: (key) => this.#links.get(key),
      successorOf: (key) => this.#links.successorOf(key),
      announcedAfter: (key) => this.#links.announcedAfter(key),
      mayLead: () => this.isCurrent(),
      onEnd: (open, how, proof) => {
        const { run, checkpoint } = open;
        void this.#writeEnd(open, { run, how, checkpoint }, proof);
      },
      onUnwell: (key) => this.#health.recordUnwell(key),
      onFull: (key) => this.#health.recordFull(key),
      onConfirmed: (run) => {
        this.#health.recordConfirmed(run.holder);
        this.#settlement.add(run);
      },
    });
    this.#departures = new WorkerDepartures({
      clock,
      events,
      timing,
      hasRunsOn: (key) => this.#driver.hasRunsOn(key),
      stopRunsOn: (key) => {
        this.#links.get(key)?.stopGrantingLeases();
        this.#driver.stopOn(key, StopReason.workerLeaving);
      },
      remove: (key) => this.#writer.write({ kind: "workerGone", key }),
    });
    this.#links.openKnown((key) => this.#driver.hasRunsOn(key));
    this.#ticker = clock.every(timing.tickMs, () => this.#tick());
    events.emit("batchLeaderBegan", {
      epoch,
      jobs: state.jobs.size,
      openRuns: this.#runs.size,
      workers: state.workers.size,
    });
    for (const fields of describeInheritedRuns([...this.#runs.all()])) {
      events.emit("runsInherited", fields);
    }
    this.#writer.requestPlan();
  }

  get epoch(): number {
    return this.#options.epoch;
  }

  /** Counts of open runs and of changes waiting for a commit, for metrics. */
  get depths(): { openRuns: number; uncommitted: number } {
    return {
      openRuns: this.#runs.size,
      uncommitted: this.#writer.queueLength,
    };
  }

  /**
   * Whether this is certainly the only leader: its epoch is the latest one
   * applied, and its leader lease is valid.
   */
  isCurrent(): boolean {
    const { log, clock, state, epoch } = this.#options;
    return !this.#isClosed && state.epoch === epoch &&
      log.status().leaseEndMs > clock.nowMs();
  }

  /**
   * Commits a change, unless its caller gives up before. Returns whether it took
   * effect; undefined if that is unknown.
   */
  write(
    item: BatchItem,
    caller?: AbortSignal,
  ): Promise<boolean | undefined> {
    return this.#writer.write(item, caller);
  }

  /** Plans again, after a change of the configuration or of a data centre. */
  requestPlan(): void {
    this.#writer.requestPlan();
  }

  /** Whether an announcement of a worker is to be ignored. */
  isRefuted(worker: WorkerRecord): boolean {
    return this.#links.isRefuted(worker, (key) => this.#driver.hasRunsOn(key));
  }

  /** Ends the runs on a worker that leaves, and then removes its record. */
  releaseWorker(key: WorkerKey): Promise<DepartureStatus> {
    return this.#departures.request(key);
  }

  close(): void {
    if (!this.#isClosed) {
      this.#isClosed = true;
      this.#ticker.close();
      this.#writer.close();
      this.#links.close();
      this.#options.events.emit("batchLeaderEnded", { epoch: this.epoch });
    }
  }

  #end(detail: string): void {
    this.close();
    this.#options.onEnded(detail);
  }

  #plan(): BatchItem[] {
    if (!this.isCurrent()) {
      return [];
    }
    const { state, clock, events, timing } = this.#options;
    const beganAtMs = clock.nowMs();
    const planned = plan({
      state,
      nowMs: clock.nowMs(),
      timeOfDayMs: clock.timeOfDayMs(),
      condition: (key) => this.#conditionOf(key),
      failedOn: (task) => this.#health.failedOn(task),
      isStopping: (task) => this.#runs.get(task)?.stopReason !== undefined,
      shares: this.#shares.observe(state, clock.nowMs()),
    }, { guaranteeWaitMs: timing.guaranteeWaitMs });
    const openRuns = this.#runs.size;
    this.#planLog.record(planned, { beganAtMs, openRuns });
    for (const { forJobId, cost, ...task } of planned.stops) {
      this.#driver.stop(task, StopReason.preempted);
      this.#options.onDelayCost?.(DelayDecision.preempted, cost);
      events.emit("taskPreempted", {
        jobId: task.jobId,
        task: taskKey(task),
        forJobId,
        cost: Number(cost.toPrecision(3)),
      });
    }
    return [...planned.starts];
  }

  #conditionOf(key: WorkerKey): WorkerCondition {
    return {
      isReachable: this.#links.get(key)?.isReachable ?? false,
      isSuspect: this.#health.isSuspect(key),
      isFull: this.#health.isFull(key),
      startsLeft: this.#health.startWindowOf(key) -
        this.#runs.unconfirmedOn(key),
    };
  }

  #onApplied(item: BatchItem): void {
    const { state, clock, events } = this.#options;
    this.#runs.applyItem(item, state, clock.nowMs());
    this.#speeds.applyItem(item);
    switch (item.kind) {
      case "accept":
        events.emit("batchJobAccepted", {
          jobId: item.jobId,
          queue: item.queue,
          account: item.account,
        });
        if (state.jobs.get(item.jobId)?.phase !== JobPhase.active) {
          this.#handleJobOver(item.jobId);
        }
        return;
      case "cancel":
        this.#handleJobOver(item.jobId);
        return;
      case "start":
        events.emit("taskStarted", {
          jobId: item.jobId,
          occurrence: item.occurrence,
          step: item.step,
          run: item.run,
          tasks: item.tasks.length,
          workers: [...new Set(item.tasks.map(({ worker }) => worker))]
            .join(" "),
        });
        this.#driver.driveTasks(
          item.tasks.map(({ index }) => ({ ...item, index })),
        );
        return;
      case "settle":
      case "workerSpeed":
        return;
      case "end":
        this.#onEndApplied(item);
        return;
      case "worker":
        if (this.#links.announce(item.worker)) {
          const { key } = item.worker;
          this.#driver.revokeUnansweredStarts(key, { hasAnswered: false });
        }
        return;
      case "workerGone":
        // Runs that were started meanwhile end by their worker's link.
        if (!this.#driver.hasRunsOn(item.key)) {
          this.#links.drop(item.key);
        }
        events.emit("batchWorkerLeft", { worker: item.key });
        return;
      case "forget":
        item.jobIds.forEach((id) => {
          this.#health.forgetJob(id);
          this.#reportedOver.delete(id);
        });
        return;
    }
  }

  #onEndApplied(item: Extract<BatchItem, { kind: "end" }>): void {
    const { state, events } = this.#options;
    const { task, run, how } = item;
    events.emit("taskEnded", {
      jobId: task.jobId,
      task: taskKey(task),
      run,
      how,
      ...this.#endOrigins.get(item),
    });
    this.#departures.settle();
    const job = state.jobs.get(task.jobId);
    if (job !== undefined && job.phase !== JobPhase.active) {
      this.#handleJobOver(task.jobId);
    } else if (how !== RunEnd.done) {
      const isGang = job?.spec.steps[task.step]?.isGang === true;
      if (isGang) {
        this.#driver.stopStep(task, StopReason.gangBroken);
      }
    }
  }

  #handleJobOver(jobId: JobId): void {
    const { state, events, clock } = this.#options;
    const job = state.jobs.get(jobId);
    if (job !== undefined && !this.#reportedOver.has(jobId)) {
      this.#reportedOver.add(jobId);
      const cost = costOfLateEnd(job, state);
      this.#options.onDelayCost?.(DelayDecision.late, cost);
      events.emit("batchJobEnded", {
        jobId,
        phase: job.phase,
        tookMs: Math.round(clock.nowMs() - job.submittedAtMs),
        cost: Number(cost.toPrecision(3)),
      });
      // Nothing of the job starts any more.
      this.#driver.stopJob(jobId);
    }
  }

  async #handleReport(
    link: WorkerLink,
    report: WorkerReport,
    sentAtMs: number,
  ): Promise<void> {
    const { key } = link.worker;
    const writes: Promise<boolean | undefined>[] = [];
    for (const { number, task, run, how, checkpoint } of report.ended) {
      const open = this.#runs.get(task);
      // A start that was on its way when the worker restarted ran here.
      const isOpen = open?.run === run && this.#mayHold(link, open.holder);
      if (number > link.acknowledgedEnd && isOpen) {
        this.#driver.recordEnding(open);
        this.#recordHealth(key, task, how);
        const end = { run, how, checkpoint };
        writes.push(this.#writeEnd(open, end, RunEndProof.report));
      }
    }
    this.#driver.reconcile(key, report, sentAtMs);
    this.#logSlowRuns(key, report);
    this.#speeds.observe(key, report);
    const outcomes = await Promise.all(writes);
    const last = report.lastEndNumber ?? report.ended.at(-1)?.number;
    if (last !== undefined && outcomes.every((known) => known !== undefined)) {
      link.acknowledgeEnds(last);
    }
  }

  /** Whether runs of the holder may have reached the worker of the link. */
  #mayHold({ worker }: WorkerLink, holder: WorkerKey): boolean {
    return workerIdOf(holder) === worker.id ||
      this.#links.get(holder)?.worker.address === worker.address;
  }

  #logSlowRuns(key: WorkerKey, report: WorkerReport): void {
    for (const run of this.#paces.observe(key, report)) {
      this.#options.events.emit("taskSlow", {
        jobId: run.task.jobId,
        task: run.taskKey,
        run: run.run,
        worker: key,
        progress: run.pace.progress,
        lagMs: Math.round(run.pace.lagMs),
      });
    }
  }

  #recordHealth(key: WorkerKey, task: TaskRef, how: RunEnd): void {
    if (this.#health.recordEnd(key, task, how)) {
      this.#options.events.emit("batchWorkerSuspect", {
        worker: key,
        task: taskKey(task),
      });
    }
  }

  #writeEnd(
    open: OpenRunState,
    end: { run: number; how: RunEnd; checkpoint: string },
    proof: RunEndProof,
  ): Promise<boolean | undefined> {
    const { task, worker, holder, startsSent, lateStartUntilMs } = open;
    const item: BatchItem = { kind: "end", task, ...end };
    const leftMs = lateStartUntilMs - this.#options.clock.steadyMs();
    this.#endOrigins.set(item, {
      worker,
      holder,
      proof,
      startsSent,
      lateStartLeftMs: Math.max(0, Math.round(leftMs)),
    });
    return this.#writer.write(item);
  }

  #recordBatch(durationMs: number, items: number): void {
    this.#options.onCommit?.(durationMs);
    if (durationMs > SLOW_COMMIT_MS) {
      this.#options.events.emit("batchCommitSlow", {
        durationMs: Math.round(durationMs),
        items,
      });
    }
  }

  #tick(): void {
    if (!this.isCurrent()) {
      return;
    }
    this.#driver.drive();
    if (this.#settlement.isOverdue()) {
      this.#settlement.take().forEach((item) => void this.#writer.write(item));
    }
    this.#dropAbsentWorkers();
    this.#forgetOldJobs();
    this.#writer.requestPlan();
  }

  /** Removes workers that are over or absent, once their runs have ended. */
  #dropAbsentWorkers(): void {
    for (const key of this.#links.absentKeys()) {
      if (!this.#driver.hasRunsOn(key)) {
        void this.#writer.write({ kind: "workerGone", key });
        this.#links.drop(key);
      }
    }
  }

  #forgetOldJobs(): void {
    const { state, clock, timing } = this.#options;
    const beforeMs = clock.nowMs() - timing.endedJobRetentionMs;
    const jobIds: JobId[] = [];
    for (const job of state.jobs.values()) {
      const isOver = job.phase !== JobPhase.active && job.endedAtMs < beforeMs;
      if (isOver && !this.#driver.hasRunsOf(job.id)) {
        jobIds.push(job.id);
      }
    }
    for (const [jobId, cancelledAtMs] of state.tombstones) {
      if (cancelledAtMs < beforeMs) {
        jobIds.push(jobId);
      }
    }
    if (jobIds.length > 0) {
      void this.#writer.write({ kind: "forget", jobIds });
    }
  }
}

/** A slower commit is logged; a sync to disk takes 4 to 9 ms. */
const SLOW_COMMIT_MS = 250;
