/**
 * Sees each open run through: orders its start until the worker has it, its
 * stop until the worker has acknowledged it, and finds out when it is gone.
 *
 * @module
 */

import type { JobId } from "../../../base/identity.ts";
import { RunEnd, type TaskRef, type WorkerKey } from "../batch_command.ts";
import { JobPhase } from "../job_record.ts";
import {
  type StartAnswer,
  StartRefusal,
  type WorkerReport,
} from "../worker_calls.ts";
import { RunOrders, type RunOrdersOptions } from "./run_orders.ts";
import {
  type OpenRunState,
  runName,
  StopReason,
  taskKey,
} from "./run_table.ts";
import type { WorkerLink } from "./worker_link.ts";

/** What a driver is made from. */
export interface RunDriverOptions extends RunOrdersOptions {
  /** The present life of the worker whose life is over, if it has one. */
  readonly successorOf: (key: WorkerKey) => WorkerKey | undefined;
  /** A run is over for certain without a worker's own word on it. */
  readonly onEnd: (run: OpenRunState, how: RunEnd) => void;
  readonly onUnwell: (key: WorkerKey) => void;
  readonly onFull: (key: WorkerKey) => void;
}

/** Drives all open runs of a leader. */
export class RunDriver {
  readonly #options: RunDriverOptions;
  /** Runs whose end is being written. */
  readonly #ending = new WeakSet<OpenRunState>();
  readonly #orders: RunOrders;

  constructor(options: RunDriverOptions) {
    this.#options = options;
    this.#orders = new RunOrders(options);
  }

  hasRunsOn(key: WorkerKey): boolean {
    return this.#options.runs.onHolder(key).length > 0;
  }

  hasRunsOf(jobId: JobId): boolean {
    return this.#options.runs.ofJob(jobId).length > 0;
  }

  /** Stops a task's run. */
  stop(task: TaskRef, reason: StopReason): void {
    const run = this.#options.runs.get(task);
    if (run !== undefined && run.stopReason === undefined) {
      run.stopReason = reason;
      run.nextCallAtMs = this.#options.clock.nowMs();
      this.#driveRun(run);
    }
  }

  /** Stops what is open of a step. */
  stopStep(task: TaskRef, reason: StopReason): void {
    this.#options.runs.ofStep(task).forEach((run) =>
      this.stop(run.task, reason)
    );
  }

  /** Stops what is open of a job. */
  stopJob(jobId: JobId): void {
    for (const run of this.#options.runs.ofJob(jobId)) {
      this.stop(run.task, StopReason.jobOver);
    }
  }

  /** Does what is due for every open run. */
  drive(): void {
    if (this.#options.mayLead()) {
      for (const run of [...this.#options.runs.all()]) {
        this.#driveRun(run);
      }
    }
  }

  /** Does what is due for one job's runs. */
  driveJob(jobId: JobId): void {
    if (this.#options.mayLead()) {
      this.#options.runs.ofJob(jobId).forEach((run) => this.#driveRun(run));
    }
  }

  /** Bars what was ordered from an earlier life of the worker. */
  barLateOrders(key: WorkerKey): void {
    this.#orders.barLate(key);
  }

  /** Compares what a worker reports with what is open there. */
  compare(key: WorkerKey, report: WorkerReport, sentAtMs: number): void {
    const { runs } = this.#options;
    const listed = new Set<string>();
    for (const { task, run, checkpoint } of report.running) {
      listed.add(runName(task, run));
      const open = runs.get(task);
      if (open?.run === run && open.holder === key) {
        open.confirmedAtMs ??= this.#options.clock.nowMs();
        open.checkpoint = checkpoint;
      } else {
        void this.#orders.bar(key, task, run);
      }
    }
    for (const { task, run } of report.ended) {
      listed.add(runName(task, run));
    }
    for (const open of runs.onHolder(key)) {
      if (!listed.has(open.name)) {
        this.#noteAbsent(open, sentAtMs);
      }
    }
  }

  /** The worker has neither the run nor its end. */
  #noteAbsent(open: OpenRunState, sentAtMs: number): void {
    const { confirmedAtMs, stoppedAtMs } = open;
    if (stoppedAtMs !== undefined && stoppedAtMs < sentAtMs) {
      this.#endOnce(open, RunEnd.stopped);
    } else if (confirmedAtMs !== undefined && confirmedAtMs < sentAtMs) {
      this.#endOnce(open, RunEnd.lost);
    }
  }

  /** A worker listed the run's end, which is being stored. */
  noteEnding(open: OpenRunState): void {
    this.#ending.add(open);
  }

  #endOnce(open: OpenRunState, how: RunEnd): void {
    if (!this.#ending.has(open)) {
      this.#ending.add(open);
      this.#options.onEnd(open, how);
    }
  }

  #driveRun(run: OpenRunState): void {
    // Until its end is committed the run is still in the table.
    if (this.#ending.has(run)) {
      return;
    }
    const { clock, linkOf, state, timing } = this.#options;
    const nowMs = clock.nowMs();
    const link = linkOf(run.holder);
    const isKnown = state.workers.has(run.holder);
    if (!isKnown || link === undefined || link.isGone) {
      this.#leaveLife(run, nowMs);
      return;
    }
    if (!link.isReachable && link.hasLapsed(nowMs)) {
      this.#endOnce(run, RunEnd.lost);
      return;
    }
    this.#checkJob(run, nowMs);
    if (run.callsOpen > 0 || nowMs < run.nextCallAtMs) {
      return;
    }
    if (run.stopReason !== undefined) {
      if (run.stoppedAtMs === undefined) {
        void this.#orders.stop(run, link);
      }
    } else if (run.confirmedAtMs === undefined) {
      const leaseEndMs = link.isReachable ? link.nextLeaseEndMs() : undefined;
      if (leaseEndMs !== undefined) {
        void this.#sendStart(run, { link, leaseEndMs });
      } else {
        run.nextCallAtMs = nowMs + timing.orderRetryMs;
      }
    }
  }

  /** The run is gone with its worker, or stopped in the worker's next life. */
  #leaveLife(run: OpenRunState, nowMs: number): void {
    const { successorOf, timing } = this.#options;
    const successor = successorOf(run.holder);
    run.lifeOverAtMs ??= nowMs;
    if (successor === undefined) {
      const mayBeLate = run.hasUnansweredStart ||
        run.confirmedAtMs === undefined;
      const waitMs = mayBeLate ? timing.nextLifeMs : 0;
      if (nowMs - run.lifeOverAtMs >= waitMs) {
        this.#endOnce(run, RunEnd.lost);
      }
      return;
    }
    this.#options.runs.moveTo(run, successor);
    run.stopReason = StopReason.lifeOver;
    run.stoppedAtMs = undefined;
    run.nextCallAtMs = nowMs;
  }

  /** A job that is over has nothing running; a gang must be whole soon. */
  #checkJob(run: OpenRunState, nowMs: number): void {
    const { state, timing } = this.#options;
    const job = state.jobs.get(run.task.jobId);
    if (run.stopReason !== undefined) {
      return;
    }
    if (job === undefined || job.phase !== JobPhase.active) {
      run.stopReason = StopReason.jobOver;
    } else if (
      job.spec.steps[run.task.step]!.isGang &&
      run.confirmedAtMs === undefined &&
      nowMs - run.sinceMs > timing.gangStartMs
    ) {
      this.stopStep(run.task, StopReason.gangBroken);
    }
  }
  async #sendStart(
    run: OpenRunState,
    options: { link: WorkerLink; leaseEndMs: number },
  ): Promise<void> {
    const answer = await this.#orders.start(run, options);
    if (answer !== undefined) {
      this.#takeStartAnswer(run, options.link, answer);
    }
  }

  #takeStartAnswer(
    run: OpenRunState,
    link: WorkerLink,
    answer: StartAnswer,
  ): void {
    link.noteClock(answer.clockMs);
    const { refusal } = answer;
    if (refusal === undefined) {
      run.confirmedAtMs ??= this.#options.clock.nowMs();
      return;
    }
    const { events, onUnwell } = this.#options;
    events.emit("taskStartRefused", {
      jobId: run.task.jobId,
      task: taskKey(run.task),
      run: run.run,
      worker: run.worker,
      reason: refusal,
      startsSent: run.startsSent,
    });
    switch (refusal) {
      case StartRefusal.late:
      case StartRefusal.fenced:
        return;
      case StartRefusal.old:
        // It was stopped, or has ended; the worker's report tells.
        this.stop(run.task, StopReason.gangBroken);
        return;
      case StartRefusal.unwell:
        onUnwell(run.holder);
        return this.#giveUpStart(run);
      case StartRefusal.noRoom:
        this.#options.onFull(run.holder);
        return this.#giveUpStart(run);
      case StartRefusal.wrong:
        return this.#giveUpStart(run);
    }
  }

  /** An earlier order without an answer may be carried out yet: stop it. */
  #giveUpStart(run: OpenRunState): void {
    if (run.startsSent > 1) {
      this.stop(run.task, StopReason.gangBroken);
    } else {
      this.#endOnce(run, RunEnd.rejected);
    }
  }
}
