/**
 * Finds the runs that are on their workers for certain, with no other start of them
 * on its way, so that the next leader can know it from the replicated state.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type { BatchItem } from "../batch_command.ts";
import type { OpenRunState, RunTable } from "./run_table.ts";

/** Settled runs of one step, to be recorded. */
type SettleItem = Extract<BatchItem, { kind: "settle" }>;

/**
 * How long settled runs may wait for a batch with other changes before they are
 * written by themselves.
 */
const WAIT_LIMIT_MS = 500;

/** Options of {@link StartSettlement}. */
export interface StartSettlementOptions {
  readonly clock: Clock;
  readonly runs: RunTable;
}

/** The confirmed runs that aren't recorded as settled yet. */
export class StartSettlement {
  readonly #options: StartSettlementOptions;
  readonly #confirmed = new Set<OpenRunState>();
  #waitsSinceMs: number | undefined;

  constructor(options: StartSettlementOptions) {
    this.#options = options;
  }

  /** Adds a run that its worker has just confirmed. */
  add(run: OpenRunState): void {
    if (!run.isSettled) {
      this.#confirmed.add(run);
    }
  }

  /** Whether runs have waited for long enough to be written by themselves. */
  isOverdue(): boolean {
    const steadyMs = this.#options.clock.steadyMs();
    if (this.#waitsSinceMs === undefined) {
      const hasSettled = [...this.#confirmed].some((run) =>
        this.#isSettled(run)
      );
      this.#waitsSinceMs = hasSettled ? steadyMs : undefined;
      return false;
    }
    return steadyMs - this.#waitsSinceMs >= WAIT_LIMIT_MS;
  }

  /** Takes the items that record all runs that are settled by now. */
  take(): SettleItem[] {
    const byStep = new Map<string, SettleItem & { indices: number[] }>();
    for (const run of this.#confirmed) {
      if (this.#isOver(run)) {
        this.#confirmed.delete(run);
      } else if (this.#isSettled(run)) {
        this.#confirmed.delete(run);
        run.isSettled = true;
        const { jobId, occurrence, step, index } = run.task;
        const key = `${jobId}.${occurrence}.${step} ${run.run}`;
        const item = byStep.get(key) ?? {
          kind: "settle",
          jobId,
          occurrence,
          step,
          run: run.run,
          indices: [],
        };
        item.indices.push(index);
        byStep.set(key, item);
      }
    }
    this.#waitsSinceMs = undefined;
    return [...byStep.values()];
  }

  /** Whether the run is over, or is known to be on a later incarnation. */
  #isOver(run: OpenRunState): boolean {
    return run.confirmedAtMs === undefined || run.holder !== run.worker ||
      this.#options.runs.get(run.task) !== run;
  }

  #isSettled(run: OpenRunState): boolean {
    return !this.#isOver(run) && run.pendingOrders === 0 &&
      run.lateStartUntilMs <= this.#options.clock.steadyMs();
  }
}
