/**
 * Stops one attempt on every worker: by command, or by waiting until the
 * worker's last lease has expired.
 *
 * @module
 */

import type { WorkerId } from "../../../base/identity.ts";
import type { Gang } from "./gang.ts";
import { delay } from "./ledger_writer.ts";
import type { SessionContext } from "./session_context.ts";
import type { CommandBody, TimedAnswer } from "./worker_caller.ts";

/** Wait between stop commands to a worker that has not yet stopped. */
const STOP_RETRY_MS = 250;

/** How an attempt is to stop. */
export interface StopMode {
  readonly wantsCheckpoint: boolean;
  readonly checkpointDeadlineMs: number;
}

/** Stop immediately, without a checkpoint. */
export const STOP_IMMEDIATELY: StopMode = {
  wantsCheckpoint: false,
  checkpointDeadlineMs: 0,
};

/** Stops attempts. */
export class GangStopper {
  readonly #context: SessionContext;

  constructor(context: SessionContext) {
    this.#context = context;
  }

  /**
   * Returns once no task of the attempt runs or can still start, or once this
   * instance no longer leads.
   */
  async stop(gang: Gang, mode: StopMode): Promise<void> {
    await Promise.all(
      gang.workerIds.map((workerId) => this.#stopOn(gang, { workerId, mode })),
    );
  }

  async #stopOn(
    gang: Gang,
    options: { workerId: WorkerId; mode: StopMode },
  ): Promise<void> {
    const { workerId, mode } = options;
    const { clock } = this.#context;
    while (this.#context.isLeading() && !this.#hasExpired(gang, workerId)) {
      const body = this.#stopBody(gang, mode);
      const isStopped = await this.#sendStop(gang, { workerId, body });
      if (isStopped || this.#context.omits("lapseWait")) {
        return;
      }
      await delay(clock, STOP_RETRY_MS);
    }
    // Not needed for safety: it only frees a leftover reservation early.
    void this.#sendStop(gang, {
      workerId,
      body: this.#stopBody(gang, STOP_IMMEDIATELY),
    });
  }

  #hasExpired(gang: Gang, workerId: WorkerId): boolean {
    return this.#context.clock.nowMs() > gang.grantedUntilMs(workerId);
  }

  #stopBody(gang: Gang, mode: StopMode): (
    toWorkerMs: (atMs: number) => number,
  ) => CommandBody {
    const { jobId, attempt } = gang;
    const { wantsCheckpoint, checkpointDeadlineMs } = mode;
    // Not `release`: it makes the worker forget tasks that have succeeded.
    return (toWorkerMs) => ({
      kind: "stop",
      jobId,
      attempt,
      wantsCheckpoint,
      checkpointDeadlineMs: wantsCheckpoint
        ? toWorkerMs(checkpointDeadlineMs)
        : 0,
    });
  }

  async #sendStop(
    gang: Gang,
    options: {
      workerId: WorkerId;
      body: (toWorkerMs: (atMs: number) => number) => CommandBody;
    },
  ): Promise<boolean> {
    const { workerId, body } = options;
    const result = await this.#context.caller.call(workerId, {
      buildCommand: body,
    });
    return result.map((answered) =>
      this.#recordAnswer(gang, { workerId, answered })
    )
      .orDefault(false);
  }

  #recordAnswer(
    gang: Gang,
    options: { workerId: WorkerId; answered: TimedAnswer },
  ): boolean {
    const { workerId, answered } = options;
    const { refusal, holdings } = answered.answer;
    const listed = gang.tasksAmong(holdings.tasks);
    for (const task of listed) {
      if (task.outcome !== undefined) {
        gang.recordOutcome(task.taskIndex, task.outcome);
      }
    }
    if (gang.isConfirmedBy(workerId, holdings.tasks)) {
      gang.confirm(workerId, answered.sentAtMs);
    }
    return refusal === undefined &&
      listed.every((task) => task.state === "ended");
  }
}
