/**
 * Stops one attempt on every worker: by command, or by waiting until the
 * worker's last lease has expired.
 *
 * @module
 */

import type { WorkerId } from "../../../base/identity.ts";
import type { Gang } from "./gang.ts";
import { pause } from "./ledger_writer.ts";
import type { SessionContext } from "./session_context.ts";
import type { Answered, CommandBody } from "./worker_caller.ts";

/** Wait between stop commands to a worker that has not yet stopped. */
const STOP_RETRY_MS = 250;

/** How an attempt is to stop. */
export interface StopManner {
  readonly wantsCheckpoint: boolean;
  readonly checkpointDeadlineMs: number;
}

/** Stop immediately, without a checkpoint. */
export const STOP_AT_ONCE: StopManner = {
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
  async stop(gang: Gang, manner: StopManner): Promise<void> {
    await Promise.all(
      gang.workerIds.map((workerId) =>
        this.#stopOn(gang, { workerId, manner })
      ),
    );
  }

  async #stopOn(
    gang: Gang,
    options: { workerId: WorkerId; manner: StopManner },
  ): Promise<void> {
    const { workerId, manner } = options;
    const { clock } = this.#context;
    while (this.#context.isLive() && !this.#hasLapsed(gang, workerId)) {
      const body = this.#body(gang, manner);
      const isStopped = await this.#tell(gang, { workerId, body });
      if (isStopped || this.#context.omits("lapseWait")) {
        return;
      }
      await pause(clock, STOP_RETRY_MS);
    }
    // The lease has expired; this only frees a leftover reservation early.
    void this.#tell(gang, { workerId, body: this.#body(gang, STOP_AT_ONCE) });
  }

  #hasLapsed(gang: Gang, workerId: WorkerId): boolean {
    return this.#context.clock.nowMs() > gang.grantedUntilMs(workerId);
  }

  #body(gang: Gang, manner: StopManner): (
    toWorkerMs: (atMs: number) => number,
  ) => CommandBody {
    const { jobId, attempt } = gang;
    const { wantsCheckpoint, checkpointDeadlineMs } = manner;
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

  async #tell(
    gang: Gang,
    options: {
      workerId: WorkerId;
      body: (toWorkerMs: (atMs: number) => number) => CommandBody;
    },
  ): Promise<boolean> {
    const { workerId, body } = options;
    const result = await this.#context.caller.call(workerId, { write: body });
    return result.map((answered) => this.#note(gang, { workerId, answered }))
      .orDefault(false);
  }

  #note(
    gang: Gang,
    options: { workerId: WorkerId; answered: Answered },
  ): boolean {
    const { workerId, answered } = options;
    const { refusal, holdings } = answered.answer;
    const listed = gang.tasksAmong(holdings.tasks);
    for (const task of listed) {
      if (task.outcome !== undefined) {
        gang.noteOutcome(task.taskIndex, task.outcome);
      }
    }
    if (gang.isProvenBy(workerId, holdings.tasks)) {
      gang.prove(workerId, answered.sentAtMs);
    }
    return refusal === undefined &&
      listed.every((task) => task.state === "ended");
  }
}
