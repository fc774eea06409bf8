/**
 * One leader's time in office: takes jobs in, plans, commits, sees every open
 * run through to its end, and answers callers from the state that it leads.
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
  type WorkerKey,
} from "../batch_command.ts";
import { plan } from "../decisions/planner.ts";
import type { WorkerCondition } from "../decisions/pool_view.ts";
import { JobPhase } from "../job_record.ts";
import type { WorkerReport } from "../worker_calls.ts";
import { BatchWriter } from "./batch_writer.ts";
import { RunDriver } from "./run_driver.ts";
import { RunTable, StopReason, taskKey } from "./run_table.ts";
import { WorkerHealth } from "./worker_health.ts";
import type { WorkerLink } from "./worker_link.ts";
import type { LeaderContext } from "./leader_context.ts";
import { WorkerLinks } from "./worker_links.ts";

/** What a session is made from. */
export interface LeaderSessionOptions extends LeaderContext {
  readonly log: ReplicatedLog<BatchCommand, BatchOutcome>;
  /** Takes note of how long each batch took to commit. */
  readonly onCommit?: (durationMs: number) => void;
  /** Called once when the session can't go on. */
  readonly onEnded: (detail: string) => void;
}

/** One leader's time in office. */
export class LeaderSession {
  readonly #options: LeaderSessionOptions;
  readonly #writer: BatchWriter;
  readonly #runs: RunTable;
  readonly #driver: RunDriver;
  readonly #health: WorkerHealth;
  readonly #links: WorkerLinks;
  /** Jobs whose end was told. */
  readonly #toldOver = new Set<JobId>();
  readonly #ticker: Timer;
  #isClosed = false;

  constructor(options: LeaderSessionOptions) {
    this.#options = options;
    const { clock, state, timing, epoch, events, calls, log } = options;
    this.#health = new WorkerHealth({ clock });
    this.#runs = RunTable.fromState(state, clock.nowMs());
    this.#writer = new BatchWriter({
      log,
      clock,
      epoch,
      commitTimeoutMs: timing.commitTimeoutMs,
      plan: () => this.#plan(),
      onApplied: (item) => this.#follow(item),
      onBatch: (durationMs, items) => this.#noteBatch(durationMs, items),
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
        this.#takeReport(from, report, sentAtMs),
      onReached: () => this.#writer.touch(),
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
      mayLead: () => this.isCurrent(),
      onEnd: ({ task, run, checkpoint }, how) =>
        void this.#writeEnd(task, { run, how, checkpoint }),
      onUnwell: (key) => this.#health.noteUnwell(key),
      onFull: (key) => this.#health.noteFull(key),
    });
    this.#links.openKnown();
    this.#ticker = clock.every(timing.tickMs, () => this.#tick());
    events.emit("batchLeaderBegan", {
      epoch,
      jobs: state.jobs.size,
      openRuns: this.#runs.size,
      workers: state.workers.size,
    });
    this.#writer.touch();
  }

  get epoch(): number {
    return this.#options.epoch;
  }

  /** Open runs and changes that wait for a commit, for the metrics. */
  get depths(): { openRuns: number; uncommitted: number } {
    return {
      openRuns: this.#runs.size,
      uncommitted: this.#writer.queueLength,
    };
  }

  /** Whether no other leader can have decided anything by now. */
  isCurrent(): boolean {
    const { log, clock, state, epoch } = this.#options;
    return !this.#isClosed && state.epoch === epoch &&
      log.status().leaseEndMs > clock.nowMs();
  }

  /** Commits a change; undefined when its outcome isn't known. */
  write(item: BatchItem): Promise<boolean | undefined> {
    return this.#writer.write(item);
  }

  /** The configuration, or which data centres are out, has changed. */
  touch(): void {
    this.#writer.touch();
  }

  /** Takes a moment of a worker's clock. */
  noteClock(key: WorkerKey, clockMs: number | undefined): void {
    this.#links.get(key)?.noteClock(clockMs);
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
    const { starts, stops } = plan({
      state,
      nowMs: clock.nowMs(),
      condition: (key) => this.#conditionOf(key),
      failedOn: (task) => this.#health.failedOn(task),
      isStopping: (task) => this.#runs.get(task)?.stopReason !== undefined,
    }, { guaranteeWaitMs: timing.guaranteeWaitMs });
    for (const task of stops) {
      this.#driver.stop(task, StopReason.preempted);
      events.emit("taskPreempted", { jobId: task.jobId, task: taskKey(task) });
    }
    return [...starts];
  }

  #conditionOf(key: WorkerKey): WorkerCondition {
    return {
      isReachable: this.#links.get(key)?.isReachable ?? false,
      isSuspect: this.#health.isSuspect(key),
      isFull: this.#health.isFull(key),
    };
  }

  #follow(item: BatchItem): void {
    const { state, clock, events } = this.#options;
    this.#runs.follow(item, state, clock.nowMs());
    switch (item.kind) {
      case "accept":
        events.emit("batchJobAccepted", {
          jobId: item.jobId,
          queue: item.queue,
          account: item.account,
        });
        return;
      case "cancel":
        this.#noteJobOver(item.jobId);
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
        this.#driver.driveJob(item.jobId);
        return;
      case "end":
        this.#followEnd(item);
        return;
      case "worker":
        if (this.#links.announce(item.worker)) {
          this.#driver.barLateOrders(item.worker.key);
        }
        return;
      case "workerGone":
        this.#links.drop(item.key);
        events.emit("batchWorkerLeft", { worker: item.key });
        return;
      case "forget":
        item.jobIds.forEach((id) => {
          this.#health.forgetJob(id);
          this.#toldOver.delete(id);
        });
        return;
    }
  }

  #followEnd({ task, run, how }: Extract<BatchItem, { kind: "end" }>): void {
    const { state, events } = this.#options;
    events.emit("taskEnded", {
      jobId: task.jobId,
      task: taskKey(task),
      run,
      how,
    });
    const job = state.jobs.get(task.jobId);
    if (job !== undefined && job.phase !== JobPhase.active) {
      this.#noteJobOver(task.jobId);
    } else if (how !== RunEnd.done) {
      const isGang = job?.spec.steps[task.step]?.isGang === true;
      if (isGang) {
        this.#driver.stopStep(task, StopReason.gangBroken);
      }
    }
  }

  #noteJobOver(jobId: JobId): void {
    const { state, events, clock } = this.#options;
    const job = state.jobs.get(jobId);
    if (job !== undefined && !this.#toldOver.has(jobId)) {
      this.#toldOver.add(jobId);
      events.emit("batchJobEnded", {
        jobId,
        phase: job.phase,
        tookMs: Math.round(clock.nowMs() - job.submittedAtMs),
      });
    }
    this.#driver.stopJob(jobId);
  }

  async #takeReport(
    link: WorkerLink,
    report: WorkerReport,
    sentAtMs: number,
  ): Promise<void> {
    const { key } = link.worker;
    const writes: Promise<boolean | undefined>[] = [];
    for (const { number, task, run, how, checkpoint } of report.ended) {
      const open = this.#runs.get(task);
      const isOpen = open?.run === run && open.holder === key;
      if (number > link.notedEnd && isOpen) {
        this.#driver.noteEnding(open);
        this.#noteHealth(key, task, how);
        writes.push(this.#writeEnd(task, { run, how, checkpoint }));
      }
    }
    this.#driver.compare(key, report, sentAtMs);
    const outcomes = await Promise.all(writes);
    const last = report.ended.at(-1);
    if (last !== undefined && outcomes.every((known) => known !== undefined)) {
      link.noteEnds(last.number);
    }
  }

  #noteHealth(key: WorkerKey, task: TaskRef, how: RunEnd): void {
    if (this.#health.note(key, task, how)) {
      this.#options.events.emit("batchWorkerSuspect", {
        worker: key,
        task: taskKey(task),
      });
    }
  }

  #writeEnd(
    task: TaskRef,
    end: { run: number; how: RunEnd; checkpoint: string },
  ): Promise<boolean | undefined> {
    const { run, how, checkpoint } = end;
    return this.#writer.write({
      kind: "end",
      task,
      run,
      how,
      checkpoint,
    });
  }

  #noteBatch(durationMs: number, items: number): void {
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
    this.#dropGoneWorkers();
    this.#forgetOldJobs();
    this.#writer.touch();
  }

  /** A worker whose process is gone leaves together with its runs. */
  #dropGoneWorkers(): void {
    for (const key of this.#links.goneKeys()) {
      if (!this.#driver.hasRunsOn(key)) {
        void this.#writer.write({ kind: "workerGone", key });
        this.#links.drop(key);
      }
    }
  }

  #forgetOldJobs(): void {
    const { state, clock, timing } = this.#options;
    const beforeMs = clock.nowMs() - timing.rememberMs;
    const jobIds: JobId[] = [];
    for (const job of state.jobs.values()) {
      const isOver = job.phase !== JobPhase.active && job.endedAtMs < beforeMs;
      if (isOver && !this.#driver.hasRunsOf(job.id)) {
        jobIds.push(job.id);
      }
    }
    if (jobIds.length > 0) {
      void this.#writer.write({ kind: "forget", jobIds });
    }
  }
}

/** A commit that takes longer is worth a line: a sync takes 4 to 9 ms. */
const SLOW_COMMIT_MS = 250;
