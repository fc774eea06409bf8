/**
 * Feeds workers' reports into the learned speeds, and commits a worker's class
 * when that changes.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type { EventLog } from "../../../base/event_log.ts";
import {
  type BatchItem,
  RunEnd,
  type WorkerKey,
  type WorkerSpeedItem,
} from "../batch_command.ts";
import type { BatchState } from "../batch_state.ts";
import type { WorkerReport } from "../worker_calls.ts";
import type { OpenRunState, RunTable } from "./run_table.ts";
import { WorkerSpeeds } from "./worker_speeds.ts";

/** Options of {@link SpeedMonitor}. */
export interface SpeedMonitorOptions {
  readonly runs: RunTable;
  readonly state: BatchState;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Commits an item; a class whose commit fails is lost with the leader. */
  readonly write: (item: WorkerSpeedItem) => void;
}

/** Learns speeds from reports; what was stored is where a new leader begins. */
export class SpeedMonitor {
  readonly #options: SpeedMonitorOptions;
  readonly #speeds: WorkerSpeeds;

  constructor(options: SpeedMonitorOptions) {
    this.#options = options;
    const { state, clock } = options;
    this.#speeds = new WorkerSpeeds({
      countWorkers: (service) =>
        [...state.workers.values()]
          .filter((worker) => worker.service === service).length,
    });
    for (const [key, record] of state.workerSpeeds) {
      const service = state.workers.get(key)?.service;
      if (service !== undefined) {
        this.#speeds.restore(key, { service, record, atMs: clock.nowMs() });
      }
    }
  }

  /** Records the progress and the ends in a worker's report. */
  observe(key: WorkerKey, report: WorkerReport): void {
    const { clockMs } = report;
    for (const { task, run, progress } of report.running) {
      const open = this.#options.runs.get(task);
      if (progress !== undefined && open?.run === run && open.holder === key) {
        this.#record(open, { clockMs, progress, isEnd: false });
      }
    }
    for (const { task, run, how } of report.ended) {
      const open = this.#options.runs.get(task);
      if (how === RunEnd.done && open?.run === run && open.holder === key) {
        this.#record(open, { clockMs, progress: 1, isEnd: true });
      }
    }
  }

  /** Logs a committed class, and drops incarnations that are gone. */
  applyItem(item: BatchItem): void {
    if (item.kind === "workerGone") {
      this.#speeds.forget(item.key);
    } else if (item.kind === "workerSpeed") {
      this.#options.events.emit("batchWorkerSpeed", {
        worker: item.key,
        speedClass: item.speedClass,
        speed: item.speed,
      });
    }
  }

  #record(
    open: OpenRunState,
    sample: { clockMs: number; progress: number; isEnd: boolean },
  ): void {
    const { state, clock, write } = this.#options;
    const { task, holder, stopReason } = open;
    const job = state.jobs.get(task.jobId);
    const spec = job?.spec.steps[task.step];
    const worker = state.workers.get(holder);
    const isComparable = job !== undefined && spec !== undefined &&
      worker !== undefined && stopReason === undefined && !spec.isLasting &&
      (spec.dataRack === undefined || spec.dataRack === worker.rack) &&
      // Members advance together, so that none shows its worker's speed.
      !(spec.isGang && this.#isSpread(open));
    if (!isComparable) {
      return;
    }
    const changed = this.#speeds.record({
      ...sample,
      worker: holder,
      service: worker.service,
      queue: job.queue,
      runId: open.runKey,
      stepId: `${task.jobId}.${task.occurrence}.${task.step}`,
      estimateMs: spec.estimateMs,
      atMs: clock.nowMs(),
    });
    if (changed !== undefined) {
      const { speedClass, estimate } = changed;
      const speed = Math.max(0.01, Math.round(100 * estimate.speed) / 100);
      write({ kind: "workerSpeed", key: holder, speedClass, speed });
    }
  }

  /** Whether the run's gang is on several workers. */
  #isSpread({ task, holder }: OpenRunState): boolean {
    return this.#options.runs.ofStep(task).some((member) =>
      member.holder !== holder
    );
  }
}
