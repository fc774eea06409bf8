/**
 * Watches how fast all open runs advance, and finds those that hardly do.
 *
 * A worker that hangs or is overloaded goes on renewing leases, so nothing else
 * shows that its tasks, and gangs with one task there, are held up.
 *
 * @module
 */

import type { BatchState } from "../batch_state.ts";
import type { WorkerKey } from "../batch_command.ts";
import type { StepSpec } from "../job_spec.ts";
import type { WorkerReport } from "../worker_calls.ts";
import { EstimateErrors } from "./estimate_errors.ts";
import type { OpenRunState, RunTable } from "./run_table.ts";

/** One slow measurement may be a machine that was suspended and runs on. */
const SLOW_MEASUREMENTS = 2;

/** Work that is away from its data or rack takes so many times as long. */
const AWAY_FACTOR = 3;

/** Compares runs with themselves, with runs of the same step, and estimates. */
export class PaceMonitor {
  readonly #runs: RunTable;
  readonly #state: BatchState;
  readonly #estimateErrors = new EstimateErrors();

  constructor(options: { runs: RunTable; state: BatchState }) {
    this.#runs = options.runs;
    this.#state = options.state;
  }

  /**
   * Records the progress in a worker's report; returns the runs that it shows
   * to have become slow.
   */
  observe(key: WorkerKey, report: WorkerReport): OpenRunState[] {
    const slow: OpenRunState[] = [];
    for (const { task, run, progress } of report.running) {
      const open = this.#runs.get(task);
      const spec = open === undefined ? undefined : this.#specOf(open);
      // Lasting tasks have no end that they could be slow to reach.
      const isMeasurable = progress !== undefined && open?.run === run &&
        open.holder === key && open.stopReason === undefined &&
        spec?.isLasting === false;
      if (isMeasurable) {
        const before = open.pace.slowMeasurements;
        this.#record(open, spec, { clockMs: report.clockMs, progress });
        const after = open.pace.slowMeasurements;
        if (before < SLOW_MEASUREMENTS && after >= SLOW_MEASUREMENTS) {
          slow.push(open);
        }
      }
    }
    return slow;
  }

  #record(
    open: OpenRunState,
    spec: StepSpec,
    sample: { clockMs: number; progress: number },
  ): void {
    // A gang's tasks begin to work when all of them are there.
    const mayWait = spec.isGang && open.pace.highestRate === 0;
    const waits = mayWait &&
      this.#runs.ofStep(open.task).some(({ confirmedAtMs }) =>
        confirmedAtMs === undefined
      );
    if (waits) {
      open.pace.restartAt(sample);
      return;
    }
    const wasMeasured = open.pace.highestRate > 0;
    open.pace.record(sample, () => this.#soundRate(open, spec));
    const { highestRate } = open.pace;
    const tellsError = !wasMeasured && highestRate > 0 &&
      spec.estimateMs > 0 && !this.#isAway(open, spec);
    if (tellsError) {
      const ratio = 1 / (highestRate * spec.estimateMs);
      this.#estimateErrors.record(this.#queueOf(open), ratio);
    }
  }

  /**
   * The rate of the run if its worker isn't slow: the highest of its own rate
   * so far, the typical one of the step's runs on other workers, and the least
   * that the estimate, if there is one, allows for. 0 if nothing is known.
   */
  #soundRate(open: OpenRunState, spec: StepSpec): number {
    const isAway = this.#isAway(open, spec);
    const factor = this.#estimateErrors.factorOf(this.#queueOf(open)) *
      (isAway ? AWAY_FACTOR : 1);
    const peerRates = spec.dataRack !== undefined && isAway
      ? []
      : this.#runs.ofStep(open.task)
        .filter(({ holder }) => holder !== open.holder)
        .map(({ pace }) => pace.highestRate)
        .filter((rate) => rate > 0);
    return Math.max(
      open.pace.highestRate,
      median(peerRates),
      spec.estimateMs > 0 ? 1 / (spec.estimateMs * factor) : 0,
    );
  }

  /** Whether it runs away from its data, or its gang in several racks. */
  #isAway(open: OpenRunState, spec: StepSpec): boolean {
    const rack = this.#rackOf(open);
    return (spec.dataRack !== undefined && rack !== spec.dataRack) ||
      (spec.prefersOneRack &&
        this.#runs.ofStep(open.task).some((member) =>
          this.#rackOf(member) !== rack
        ));
  }

  #rackOf({ holder }: OpenRunState): string | undefined {
    return this.#state.workers.get(holder)?.rack;
  }

  #queueOf({ task }: OpenRunState): string {
    return this.#state.jobs.get(task.jobId)?.queue ?? "";
  }

  #specOf({ task }: OpenRunState): StepSpec | undefined {
    return this.#state.jobs.get(task.jobId)?.spec.steps[task.step];
  }
}

/** The lower median; 0 for no numbers. */
function median(numbers: readonly number[]): number {
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
