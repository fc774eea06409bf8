/**
 * What a new leader finds out before it starts anything: for every attempt
 * that the log holds open, whether the whole gang still runs.
 *
 * @module
 */

import type { WorkerId } from "../../../base/identity.ts";
import type { Gang } from "./gang.ts";
import { earlierLeasesEndMs } from "./lease_rule.ts";
import { pause } from "./ledger_writer.ts";
import type { SessionContext } from "./session_context.ts";
import type { HeldTask } from "./worker_report.ts";

/** How long to wait before a silent worker is asked again. */
const QUERY_RETRY_MS = 250;

/** Options of {@link Recovery}. */
export interface RecoveryOptions {
  readonly context: SessionContext;
  /** Called as soon as a gang is known to be whole. */
  readonly onWhole: (gang: Gang) => void;
  /** Ends a gang that isn't; returns once nothing of it runs. */
  readonly onBroken: (gang: Gang) => Promise<void>;
}

/** Asks the workers of open attempts what they hold. */
export class Recovery {
  readonly #options: RecoveryOptions;
  readonly #endMs: number;

  constructor(options: RecoveryOptions) {
    this.#options = options;
    const { clock, lease } = options.context;
    this.#endMs = earlierLeasesEndMs(clock.nowMs(), lease);
  }

  /** Returns once the state of every gang is known. */
  async run(gangs: readonly Gang[]): Promise<void> {
    await Promise.all(gangs.map((gang) => this.#recover(gang)));
  }

  async #recover(gang: Gang): Promise<void> {
    const holdings = await Promise.all(
      gang.workerIds.map((workerId) => this.#ask(gang, workerId)),
    );
    if (!this.#options.context.isLive()) {
      return;
    }
    if (isWhole(gang, holdings)) {
      this.#options.onWhole(gang);
      return;
    }
    await this.#options.onBroken(gang);
  }

  /** What the worker holds; nothing once its leases must have ended. */
  async #ask(gang: Gang, workerId: WorkerId): Promise<readonly HeldTask[]> {
    const { clock, caller } = this.#options.context;
    while (this.#options.context.isLive() && clock.nowMs() <= this.#endMs) {
      const result = await caller.call(workerId, {
        write: () => ({ kind: "renew", leases: [], forget: [] }),
      });
      const answered = result.toMaybe().extract();
      if (answered !== undefined && answered.answer.refusal === undefined) {
        gang.prove(workerId, answered.sentAtMs);
        return gang.tasksAmong(answered.answer.holdings.tasks);
      }
      if (this.#options.context.omits("recoveryWait")) {
        return [];
      }
      await pause(clock, QUERY_RETRY_MS);
    }
    return [];
  }
}

/** Whether every task was listed, as running or as ended. */
function isWhole(
  gang: Gang,
  holdings: readonly (readonly HeldTask[])[],
): boolean {
  const known = holdings.flat()
    .filter((task) => task.state !== "reserved" && task.outcome !== "lost")
    .map((task) => task.taskIndex);
  return gang.placements.every(({ taskIndex }) => known.includes(taskIndex));
}
