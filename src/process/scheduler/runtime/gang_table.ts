/**
 * The attempts that a leader manages, from the decision to start them until
 * none of their tasks runs and the log has recorded it.
 *
 * @module
 */

import type { JobId, WorkerId } from "../../../base/identity.ts";
import type { StartGang, StopGang } from "../core/scheduler_decision.ts";
import type { TaskOutcome } from "../core/scheduler_event.ts";
import { Gang } from "./gang.ts";
import { GangStarter, type StartOutcome } from "./gang_starter.ts";
import { GangStopper, STOP_IMMEDIATELY } from "./gang_stopper.ts";
import type { JobRecord } from "./job_record.ts";
import { LeaseRenewer } from "./lease_renewer.ts";
import { earlierLeasesEndMs } from "./lease_rule.ts";
import type { SessionContext } from "./session_context.ts";
import type { WorkerEntry } from "./worker_table.ts";

/** All attempts that have not ended. */
export class GangTable {
  readonly #context: SessionContext;
  readonly #gangs = new Map<string, Gang>();
  readonly #byWorker = new Map<WorkerId, Set<Gang>>();
  readonly #starter: GangStarter;
  readonly #stopper: GangStopper;
  readonly #leases: LeaseRenewer;

  constructor(context: SessionContext) {
    this.#context = context;
    this.#starter = new GangStarter(context);
    this.#stopper = new GangStopper(context);
    this.#leases = new LeaseRenewer({ context, gangs: () => this.gangs() });
  }

  gangs(): IterableIterator<Gang> {
    return this.#gangs.values();
  }

  /** Whether the start of a gang is in progress. */
  hasStartsInProgress(): boolean {
    return [...this.gangs()].some((gang) => gang.phase === "starting");
  }

  get(jobId: JobId, attempt: number): Gang | undefined {
    return this.#gangs.get(key(jobId, attempt));
  }

  /** Adds the job's open attempt, if any, which an earlier leader recorded. */
  recover(record: JobRecord): Gang | undefined {
    const open = record.openAttempt;
    if (open === undefined) {
      return undefined;
    }
    const { clock, lease } = this.#context;
    const gang = new Gang({
      jobId: record.specification.jobId,
      attempt: open.attempt,
      placements: open.placements,
      phase: "starting",
      grantedUntilMs: earlierLeasesEndMs(clock.nowMs(), lease),
    });
    this.#put(gang);
    return gang;
  }

  /** Lets a recovered gang that is intact go on running. */
  adopt(gang: Gang): void {
    gang.phase = "running";
    this.#leases.renewGang(gang);
  }

  /** Stops all tasks of a recovered gang that isn't intact. */
  async stopBroken(gang: Gang): Promise<void> {
    gang.phase = "stopping";
    await this.#stopper.stop(gang, STOP_IMMEDIATELY);
    const { hasSucceeded } = gang;
    await this.#closeAttempt(gang, {
      detail: "not whole after a change of leader",
      hasSucceeded,
    });
  }

  async start(decision: StartGang, command: readonly string[]): Promise<void> {
    const { jobId, attempt, placements } = decision;
    const gang = new Gang({
      jobId,
      attempt,
      placements,
      phase: "starting",
      grantedUntilMs: 0,
    });
    this.#put(gang);
    const outcome = await this.#starter.start(gang, { decision, command });
    if (outcome.kind === "started" && gang.phase === "starting") {
      this.#beginRunning(gang);
      return;
    }
    await this.#abortStart(gang, outcome);
  }

  async stop(decision: StopGang): Promise<void> {
    const { jobId, attempt, reason, wantsCheckpoint } = decision;
    const gang = this.get(jobId, attempt);
    if (gang === undefined || gang.phase === "over") {
      this.#feedStopped({ jobId, attempt, isCheckpointed: false });
      return;
    }
    const wasRunning = gang.phase === "running";
    if (gang.phase === "stopping") {
      return;
    }
    gang.phase = "stopping";
    gang.isCheckpointing = wantsCheckpoint;
    if (!wasRunning) {
      return; // The start in progress notices the phase and stops the gang.
    }
    await this.#stopper.stop(gang, decision);
    // The gang may have succeeded before the stop reached its workers.
    const { hasSucceeded } = gang;
    await this.#closeAttempt(gang, { detail: reason, hasSucceeded });
    this.#feedSuccesses(gang);
    const { isCheckpointed } = gang;
    this.#context.events.emit("gangStopped", {
      jobId,
      attempt,
      reason,
      isCheckpointed,
    });
    this.#feedStopped({ jobId, attempt, isCheckpointed });
  }

  /** Reconciles a worker's tasks with the attempts that it should hold. */
  reconcile(entry: WorkerEntry): void {
    const { workerId } = entry.description;
    for (const gang of this.#byWorker.get(workerId) ?? []) {
      if (gang.phase === "running") {
        this.#reconcileGang(gang, entry);
      }
    }
    const staleAttempts = new Map<string, { jobId: JobId; attempt: number }>();
    for (const task of entry.tasks) {
      if (this.get(task.jobId, task.attempt) !== undefined) {
        continue;
      }
      if (task.state === "ended") {
        this.#leases.forget(workerId, task);
      } else {
        staleAttempts.set(key(task.jobId, task.attempt), task);
      }
    }
    if (!this.#context.omits("returnedTasks")) {
      staleAttempts.forEach((task) => this.#release(workerId, task));
    }
  }

  /** Records the tasks of expired leases as lost. */
  expireLeases(): void {
    const nowMs = this.#context.clock.nowMs();
    for (const gang of [...this.#gangs.values()]) {
      if (gang.phase !== "running") {
        continue;
      }
      const expired = gang.workerIds
        .filter((workerId) => gang.grantedUntilMs(workerId) < nowMs);
      const ends: TaskEnd[] = expired.flatMap((workerId) =>
        gang.taskIndexes(workerId)
          .map((taskIndex) => ({ workerId, taskIndex, outcome: "lost" }))
      );
      this.#recordEnds(gang, ends);
    }
  }

  renewLeases(): void {
    this.#leases.renewAll();
  }

  #beginRunning(gang: Gang): void {
    const { jobId, attempt } = gang;
    gang.phase = "running";
    this.#context.events.emit("gangStarted", { jobId, attempt });
    void this.#context.writer.write({ kind: "attemptStarted", jobId, attempt });
    const atMs = this.#context.clock.nowMs();
    this.#context.feed({ kind: "gangStarted", atMs, jobId, attempt });
  }

  /** Ends a start that failed or was interrupted by a stop. */
  async #abortStart(gang: Gang, outcome: StartOutcome): Promise<void> {
    const wasStopped = gang.phase === "stopping";
    const workerIds = outcome.kind === "failed" ? outcome.workerIds : [];
    const detail = outcome.kind === "failed" ? outcome.detail : "stopped";
    gang.phase = "stopping";
    gang.isCheckpointing = false;
    if (!this.#context.omits("releaseAll")) {
      await this.#stopper.stop(gang, STOP_IMMEDIATELY);
    }
    if (gang.hasSucceeded && !wasStopped) {
      await this.#closeSucceeded(gang);
      return;
    }
    const { hasSucceeded } = gang;
    await this.#closeAttempt(gang, { detail, hasSucceeded });
    const { jobId, attempt } = gang;
    if (wasStopped) {
      this.#feedSuccesses(gang);
      this.#feedStopped({ jobId, attempt, isCheckpointed: false });
      return;
    }
    this.#context.events.emit("gangStartFailed", {
      jobId,
      attempt,
      detail,
      workers: workerIds.join(" "),
    });
    const atMs = this.#context.clock.nowMs();
    this.#context.feed({
      kind: "gangStartFailed",
      atMs,
      jobId,
      attempt,
      workerIds,
    });
  }

  /** Ends a gang that succeeded although the answer to its start was lost. */
  async #closeSucceeded(gang: Gang): Promise<void> {
    const { jobId, attempt } = gang;
    await this.#closeAttempt(gang, {
      detail: "every task ended",
      hasSucceeded: true,
    });
    this.#context.events.emit("gangStarted", { jobId, attempt });
    const atMs = this.#context.clock.nowMs();
    this.#context.feed({ kind: "gangStarted", atMs, jobId, attempt });
    this.#feedSuccesses(gang);
  }

  /**
   * Ends an attempt of which no task runs any more. The log records this
   * before any later command of the job.
   */
  async #closeAttempt(
    gang: Gang,
    end: { detail: string; hasSucceeded: boolean },
  ): Promise<void> {
    const { jobId, attempt } = gang;
    const { detail, hasSucceeded } = end;
    gang.phase = "over";
    await this.#context.writer.write({
      kind: "attemptEnded",
      jobId,
      attempt,
      hasFailed: gang.hasFailed,
      ...(hasSucceeded ? { hasSucceeded } : {}),
      detail,
    });
    this.#remove(gang);
  }

  #reconcileGang(gang: Gang, entry: WorkerEntry): void {
    const { workerId } = entry.description;
    const listed = gang.tasksAmong(entry.tasks);
    const ends: TaskEnd[] = [];
    for (const taskIndex of gang.taskIndexes(workerId)) {
      const task = listed.find((each) => each.taskIndex === taskIndex);
      const outcome = task === undefined ? "lost" : task.outcome;
      if (outcome !== undefined) {
        ends.push({ workerId, taskIndex, outcome });
      }
    }
    this.#recordEnds(gang, ends);
  }

  #recordEnds(gang: Gang, ends: readonly TaskEnd[]): void {
    const newEnds = ends.filter((end) =>
      gang.recordOutcome(end.taskIndex, end.outcome)
    );
    if (gang.hasEnded && gang.phase === "running") {
      const { hasSucceeded } = gang;
      void this.#closeAttempt(gang, {
        detail: "every task ended",
        hasSucceeded,
      });
    }
    for (const end of newEnds) {
      this.#feedEnd(gang, end);
    }
  }

  #feedSuccesses(gang: Gang): void {
    for (const { taskIndex, workerId } of gang.placements) {
      if (gang.outcome(taskIndex) === "succeeded") {
        this.#feedEnd(gang, { taskIndex, workerId, outcome: "succeeded" });
      }
    }
  }

  #feedEnd(gang: Gang, end: TaskEnd): void {
    this.#context.feed({
      kind: "taskEnded",
      atMs: this.#context.clock.nowMs(),
      ...gang.reference(end.taskIndex),
      workerId: end.workerId,
      outcome: end.outcome,
    });
  }

  #feedStopped(
    stopped: { jobId: JobId; attempt: number; isCheckpointed: boolean },
  ): void {
    const atMs = this.#context.clock.nowMs();
    this.#context.feed({ kind: "gangStopped", atMs, ...stopped });
  }

  #release(
    workerId: WorkerId,
    { jobId, attempt }: { jobId: JobId; attempt: number },
  ): void {
    void this.#context.caller.call(workerId, {
      buildCommand: () => ({ kind: "release", jobId, attempt }),
    });
  }

  #put(gang: Gang): void {
    this.#gangs.set(key(gang.jobId, gang.attempt), gang);
    for (const workerId of gang.workerIds) {
      const gangs = this.#byWorker.get(workerId) ?? new Set();
      this.#byWorker.set(workerId, gangs.add(gang));
    }
  }

  #remove(gang: Gang): void {
    this.#gangs.delete(key(gang.jobId, gang.attempt));
    for (const workerId of gang.workerIds) {
      const gangs = this.#byWorker.get(workerId);
      gangs?.delete(gang);
      if (gangs?.size === 0) {
        this.#byWorker.delete(workerId);
      }
    }
  }
}

interface TaskEnd {
  readonly taskIndex: number;
  readonly workerId: WorkerId;
  readonly outcome: TaskOutcome;
}

function key(jobId: JobId, attempt: number): string {
  return `${jobId}/${attempt}`;
}
