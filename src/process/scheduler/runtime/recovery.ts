/**
 * Finds out, before a new leader starts anything, whether the gang of each
 * open attempt in the log is still intact.
 *
 * @module
 */

import type { WorkerId } from "../../../base/identity.ts";
import type { Gang } from "./gang.ts";
import { earlierLeasesEndMs } from "./lease_rule.ts";
import { delay } from "./ledger_writer.ts";
import type { SessionContext } from "./session_context.ts";
import type { HeldTask } from "./worker_report.ts";

/** Wait before a worker that did not answer is queried again. */
const QUERY_RETRY_MS = 250;

/** Options of {@link Recovery}. */
export interface RecoveryOptions {
  readonly context: SessionContext;
  /** Called as soon as a gang is known to be intact. */
  readonly onIntact: (gang: Gang) => void;
  /** Stops a gang that isn't intact; resolves once none of its tasks runs. */
  readonly onBroken: (gang: Gang) => Promise<void>;
}

/** Queries the workers of open attempts for the tasks that they hold. */
export class Recovery {
  readonly #options: RecoveryOptions;
  readonly #endMs: number;

  constructor(options: RecoveryOptions) {
    this.#options = options;
    const { clock, lease } = options.context;
    this.#endMs = earlierLeasesEndMs(clock.nowMs(), lease);
  }

  /**
   * Returns once every gang is known to be intact or has been stopped, or once
   * this instance no longer leads.
   */
  async run(gangs: readonly Gang[]): Promise<void> {
    await Promise.all(gangs.map((gang) => this.#recover(gang)));
  }

  async #recover(gang: Gang): Promise<void> {
    const holdings = await Promise.all(
      gang.workerIds.map((workerId) => this.#queryWorker(gang, workerId)),
    );
    if (!this.#options.context.isLeading()) {
      return;
    }
    if (isIntact(gang, holdings)) {
      this.#options.onIntact(gang);
      return;
    }
    await this.#options.onBroken(gang);
  }

  /** The gang's tasks on the worker; none once its leases have expired. */
  async #queryWorker(
    gang: Gang,
    workerId: WorkerId,
  ): Promise<readonly HeldTask[]> {
    const { clock, caller } = this.#options.context;
    while (this.#options.context.isLeading() && clock.nowMs() <= this.#endMs) {
      // An empty renewal, sent for the holdings in its answer.
      const result = await caller.call(workerId, {
        buildCommand: () => ({ kind: "renew", leases: [], forget: [] }),
      });
      const answered = result.toMaybe().extract();
      if (answered !== undefined && answered.answer.refusal === undefined) {
        gang.confirm(workerId, answered.sentAtMs);
        return gang.tasksAmong(answered.answer.holdings.tasks);
      }
      if (this.#options.context.omits("recoveryWait")) {
        return [];
      }
      await delay(clock, QUERY_RETRY_MS);
    }
    return [];
  }
}

/** Whether every task was listed as running, or as ended but not lost. */
function isIntact(
  gang: Gang,
  holdings: readonly (readonly HeldTask[])[],
): boolean {
  const known = holdings.flat()
    .filter((task) => task.state !== "reserved" && task.outcome !== "lost")
    .map((task) => task.taskIndex);
  return gang.placements.every(({ taskIndex }) => known.includes(taskIndex));
}
