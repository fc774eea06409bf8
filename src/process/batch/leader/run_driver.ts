/**
 * Drives each open run to its end: repeats its start order until the worker
 * confirms it, repeats its stop order until the worker acknowledges it, and
 * detects runs that are lost.
 *
 * @module
 */

import type { JobId } from "../../../base/identity.ts";
import { RunEnd, type TaskRef, type WorkerKey } from "../batch_command.ts";
import { leaseBoundMs } from "../batch_timing.ts";
import { JobPhase } from "../job_record.ts";
import {
  type StartAnswer,
  StartRefusal,
  type WorkerReport,
} from "../worker_calls.ts";
import { OrderSlots } from "./order_slots.ts";
import { RunEndProof } from "./run_end_proof.ts";
import { RunOrders, type RunOrdersOptions } from "./run_orders.ts";
import { type OpenRunState, runKey, StopReason, taskKey } from "./run_table.ts";
import type { WorkerLink } from "./worker_link.ts";

/** Options of {@link RunDriver}. */
export interface RunDriverOptions extends RunOrdersOptions {
  /** The incarnation that has answered at the worker's address since. */
  readonly successorOf: (key: WorkerKey) => WorkerKey | undefined;
  /** One that was announced there since, whether it has answered or not. */
  readonly announcedAfter: (key: WorkerKey) => WorkerKey | undefined;
  /** Called when a run is certainly over though no worker reported its end. */
  readonly onEnd: (
    run: OpenRunState,
    how: RunEnd,
    proof: RunEndProof,
  ) => void;
  readonly onUnwell: (key: WorkerKey) => void;
  readonly onFull: (key: WorkerKey) => void;
  /** Called when a worker is first known to have a run. */
  readonly onConfirmed: (run: OpenRunState) => void;
}

/** Drives all open runs of one leader. */
export class RunDriver {
  readonly #options: RunDriverOptions;
  /** Runs whose end is being committed. */
  readonly #ending = new WeakSet<OpenRunState>();
  readonly #orders: RunOrders;
  readonly #startSlots = new OrderSlots();
  readonly #stopSlots = new OrderSlots();

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
      if (this.#options.mayLead()) {
        this.#driveRun(run);
      }
    }
  }

  /** Stops all open runs of the task's step. */
  stopStep(task: TaskRef, reason: StopReason): void {
    this.#options.runs.ofStep(task).forEach((run) =>
      this.stop(run.task, reason)
    );
  }

  /** Stops all open runs of a job that is over. */
  stopJob(jobId: JobId): void {
    for (const run of this.#options.runs.ofJob(jobId)) {
      this.stop(run.task, StopReason.jobOver);
    }
  }

  /** Stops all open runs on a worker. */
  stopOn(key: WorkerKey, reason: StopReason): void {
    for (const run of this.#options.runs.onHolder(key)) {
      this.stop(run.task, reason);
    }
  }

  /** Sends the orders that are due and ends lost runs, for all open runs. */
  drive(): void {
    if (this.#options.mayLead()) {
      for (const run of [...this.#options.runs.all()]) {
        this.#driveRun(run);
      }
    }
  }

  /** Does the same as {@link drive} for the open runs of some tasks. */
  driveTasks(tasks: readonly TaskRef[]): void {
    if (this.#options.mayLead()) {
      for (const task of tasks) {
        const run = this.#options.runs.get(task);
        if (run !== undefined) {
          this.#driveRun(run);
        }
      }
    }
  }

  /** Revokes unanswered starts that were sent to earlier incarnations. */
  revokeUnansweredStarts(
    key: WorkerKey,
    options: { hasAnswered: boolean },
  ): void {
    this.#orders.revokeUnanswered(key, options);
  }

  /**
   * Compares a worker's report with the runs that are open there. Confirms
   * listed runs, revokes unknown ones, and ends open ones that are gone.
   */
  reconcile(key: WorkerKey, report: WorkerReport, sentAtMs: number): void {
    const { runs } = this.#options;
    const listed = new Set<string>();
    for (const { task, run, checkpoint } of report.running) {
      listed.add(runKey(task, run));
      const open = runs.get(task);
      if (open?.run === run && open.holder === key) {
        this.#confirm(open);
        open.checkpoint = checkpoint;
      } else {
        void this.#orders.revokeListed(key, task, run);
      }
    }
    for (const { task, run } of report.ended) {
      listed.add(runKey(task, run));
    }
    if (!report.isComplete) {
      // A run that isn't listed, or its end, may be among those left out.
      return;
    }
    for (const open of runs.onHolder(key)) {
      if (!listed.has(open.runKey)) {
        this.#handleAbsent(open, sentAtMs);
      }
    }
  }

  /** Records that its worker has the run. */
  #confirm(run: OpenRunState): void {
    // The only start that was sent has been carried out.
    if (run.startsSent === 1 && !run.isInherited && run.pendingOrders === 0) {
      run.lateStartUntilMs = 0;
    }
    if (run.confirmedAtMs === undefined) {
      run.confirmedAtMs = this.#options.clock.nowMs();
      this.#options.onConfirmed(run);
    }
  }

  /**
   * The worker reported neither the run nor its end. The run is over if it was
   * stopped or confirmed before the request for the report was sent; otherwise
   * its start may still arrive.
   */
  #handleAbsent(open: OpenRunState, sentAtMs: number): void {
    const { confirmedAtMs, stoppedAtMs } = open;
    const proof = open.holder === open.worker
      ? RunEndProof.absent
      : RunEndProof.incarnation;
    if (stoppedAtMs !== undefined && stoppedAtMs < sentAtMs) {
      this.#endOnce(open, RunEnd.stopped, proof);
    } else if (confirmedAtMs !== undefined && confirmedAtMs < sentAtMs) {
      this.#endOnce(open, RunEnd.lost, proof);
    }
  }

  /** Records that a worker reported the run's end, which is being committed. */
  recordEnding(open: OpenRunState): void {
    this.#ending.add(open);
  }

  #endOnce(open: OpenRunState, how: RunEnd, proof: RunEndProof): void {
    if (!this.#ending.has(open)) {
      this.#ending.add(open);
      this.#options.onEnd(open, how, proof);
    }
  }

  #driveRun(run: OpenRunState): void {
    // The run stays in the table until its end is committed.
    if (this.#ending.has(run)) {
      return;
    }
    const { clock, linkOf, state, timing } = this.#options;
    const nowMs = clock.nowMs();
    const link = linkOf(run.holder);
    if (link === undefined) {
      this.#handleNoLink(run);
      return;
    }
    if (
      link.isSuperseded || this.#options.successorOf(run.holder) !== undefined
    ) {
      this.#handleIncarnationOver(run);
      return;
    }
    if (!link.isReachable && link.haveLeasesExpired()) {
      const next = this.#options.announcedAfter(run.holder);
      this.#endUnlessPassedOn(run, next, RunEndProof.lease);
      return;
    }
    this.#checkJob(run, nowMs);
    if (run.pendingOrders > 0 || nowMs < run.nextCallAtMs) {
      return;
    }
    if (run.stopReason !== undefined) {
      if (run.stoppedAtMs === undefined) {
        void this.#sendStop(run, link);
      }
    } else if (run.confirmedAtMs === undefined) {
      if (link.isReachable && !state.mayRunOn(run.holder)) {
        this.#withdrawStart(run);
        return;
      }
      if (link.isReachable) {
        void this.#sendStart(run, link);
      } else {
        run.nextCallAtMs = nowMs + timing.orderRetryDelayMs;
      }
    }
  }

  /**
   * Handles a run of a worker without a record: the leader before removed it, or
   * an earlier version did. The leases that were granted there run out first.
   */
  #handleNoLink(run: OpenRunState): void {
    const { clock, timing } = this.#options;
    run.recordMissingAtMs ??= clock.steadyMs();
    const waitedMs = clock.steadyMs() - run.recordMissingAtMs;
    if (waitedMs >= leaseBoundMs(timing.leaseLimitMs, timing)) {
      this.#endUnlessPassedOn(run, undefined, RunEndProof.lease);
    }
  }

  /**
   * Handles a run whose worker incarnation is over. It is lost, unless a later
   * incarnation may have it.
   */
  #handleIncarnationOver(run: OpenRunState): void {
    const { successorOf, announcedAfter } = this.#options;
    const next = successorOf(run.holder) ?? announcedAfter(run.holder);
    this.#endUnlessPassedOn(run, next, RunEndProof.incarnation);
  }

  /**
   * Ends a run that its worker incarnation doesn't have any more. A start that got
   * no answer may be carried out by a later one, which then holds the run by a
   * lease of its own: the run is stopped on the next incarnation first, or, while
   * none is known, that lease is waited for.
   */
  #endUnlessPassedOn(
    run: OpenRunState,
    next: WorkerKey | undefined,
    proof: RunEndProof,
  ): void {
    if (!this.#mayBePassedOn(run)) {
      this.#endOnce(run, RunEnd.lost, proof);
    } else if (next !== undefined) {
      this.#options.runs.moveTo(run, next);
      run.stopReason = StopReason.workerRestarted;
      run.nextCallAtMs = this.#options.clock.nowMs();
    }
  }

  /** Whether a later incarnation of its worker may have the run, or get it. */
  #mayBePassedOn(run: OpenRunState): boolean {
    const { clock, timing } = this.#options;
    const longestLeaseMs = leaseBoundMs(timing.leaseLimitMs, timing);
    return run.pendingOrders > 0 ||
      (run.lateStartUntilMs > 0 &&
        clock.steadyMs() < run.lateStartUntilMs + longestLeaseMs);
  }

  /** Stops runs of a job that is over, and gangs that don't start in time. */
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
      nowMs - run.openedAtMs > timing.gangStartTimeoutMs
    ) {
      this.stopStep(run.task, StopReason.gangBroken);
    }
  }

  /**
   * Gives up a start whose worker has begun to drain, or whose data centre was
   * taken out, since it was decided. One that was sent may have been received.
   */
  #withdrawStart(run: OpenRunState): void {
    if (run.startsSent === 0) {
      this.#endOnce(run, RunEnd.rejected, RunEndProof.refused);
    } else {
      this.stop(run.task, StopReason.workerLeaving);
    }
  }

  async #sendStart(run: OpenRunState, link: WorkerLink): Promise<void> {
    const { holder } = run;
    if (!this.#startSlots.take(holder, run)) {
      return;
    }
    const leaseEndMs = link.nextLeaseEndMs();
    if (leaseEndMs === undefined) {
      const { clock, timing } = this.#options;
      run.nextCallAtMs = clock.nowMs() + timing.orderRetryDelayMs;
      this.#startSlots.release(holder);
      return;
    }
    const answer = await this.#orders.start(run, { link, leaseEndMs });
    this.#startSlots.release(holder);
    // What an earlier incarnation answers says nothing about a later holder.
    if (answer !== undefined && run.holder === holder) {
      this.#handleStartAnswer(run, answer);
    }
    this.#driveWaiting(this.#startSlots);
  }

  async #sendStop(run: OpenRunState, link: WorkerLink): Promise<void> {
    const { holder } = run;
    if (this.#stopSlots.take(holder, run)) {
      await this.#orders.stop(run, link);
      this.#stopSlots.release(holder);
      this.#driveWaiting(this.#stopSlots);
    }
  }

  /** Sends the orders that waited for slots that are free now. */
  #driveWaiting(slots: OrderSlots): void {
    const { runs, mayLead } = this.#options;
    if (!mayLead()) {
      return;
    }
    for (
      let run = slots.nextWaiting();
      run !== undefined;
      run = slots.nextWaiting()
    ) {
      if (runs.get(run.task) === run) {
        this.#driveRun(run);
      }
    }
  }

  #handleStartAnswer(run: OpenRunState, answer: StartAnswer): void {
    const { refusal } = answer;
    if (refusal === undefined) {
      this.#confirm(run);
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
        // The run was stopped or has ended; the worker's report will say how.
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

  /** Ends a refused run, or stops it if an earlier start may still arrive. */
  #giveUpStart(run: OpenRunState): void {
    if (run.startsSent > 1) {
      this.stop(run.task, StopReason.gangBroken);
    } else {
      this.#endOnce(run, RunEnd.rejected, RunEndProof.refused);
    }
  }
}
