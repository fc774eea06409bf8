/**
 * A simulated task: a timer that ends it, and the usage that it reports.
 *
 * @module
 */

import type { Clock, Timer } from "../../src/base/clock.ts";
import type { TaskResources } from "../../src/process/scheduler/core/job.ts";
import type { TaskOutcome } from "../../src/process/scheduler/core/scheduler_event.ts";
import type {
  HeldTask,
  HeldTaskUsage,
} from "../../src/process/scheduler/runtime/worker_report.ts";

/** How long a task runs if its command has no duration. */
export const DEFAULT_RUN_MS = 1_000;

/** Options of {@link SimulatedTask}. */
export interface SimulatedTaskOptions {
  readonly clock: Clock;
  readonly jobId: string;
  readonly attempt: number;
  readonly taskIndex: number;
  readonly resources: TaskResources;
  /** `["run", "<ms>"]` or `["fail", "<ms>"]`. */
  readonly command: readonly string[];
  readonly onEnd: (task: SimulatedTask) => void;
}

/** The faults that a task is started with. */
export interface StartFaults {
  readonly fails: boolean;
  readonly runTimeFactor: number;
}

/** A task that does nothing until its time is up. */
export class SimulatedTask {
  readonly #options: SimulatedTaskOptions;
  #state: HeldTask["state"] = "reserved";
  #outcome: TaskOutcome | undefined;
  #timer: Timer | undefined;
  #checkpointedAtMs: number | undefined;
  #coresFraction = 1;

  constructor(options: SimulatedTaskOptions) {
    this.#options = options;
  }

  get state(): HeldTask["state"] {
    return this.#state;
  }

  get taskIndex(): number {
    return this.#options.taskIndex;
  }

  get resources(): TaskResources {
    return this.#options.resources;
  }

  start(faults: StartFaults): void {
    const { clock, command } = this.#options;
    const [verb, durationMs] = command;
    const declaredMs = Number(durationMs ?? DEFAULT_RUN_MS);
    const fails = faults.fails || verb === "fail";
    this.#state = "running";
    this.#timer = clock.after(
      declaredMs * faults.runTimeFactor,
      () => this.end(fails ? "failed" : "succeeded"),
    );
  }

  throttle(coresFraction: number): void {
    this.#coresFraction = coresFraction;
  }

  checkpoint(): void {
    this.#checkpointedAtMs = this.#options.clock.nowMs();
  }

  /** Ends the task if it runs. */
  end(outcome: TaskOutcome): void {
    if (this.#state !== "running") {
      return;
    }
    this.#timer?.close();
    this.#state = "ended";
    this.#outcome = outcome;
    this.#options.onEnd(this);
  }

  toHeldTask(): HeldTask {
    const { jobId, attempt, taskIndex } = this.#options;
    return {
      jobId,
      attempt,
      taskIndex,
      state: this.#state,
      ...(this.#outcome === undefined ? {} : { outcome: this.#outcome }),
    };
  }

  usage(sizeFactor: number): HeldTaskUsage {
    const { clock, jobId, attempt, taskIndex, resources } = this.#options;
    const checkpointedAtMs = this.#checkpointedAtMs;
    return {
      jobId,
      attempt,
      taskIndex,
      cores: resources.cores * sizeFactor * this.#coresFraction,
      memoryBytes: Math.round(resources.memoryBytes * sizeFactor),
      accelerators: resources.accelerators,
      ...(checkpointedAtMs === undefined
        ? {}
        : { checkpointAgeMs: clock.nowMs() - checkpointedAtMs }),
    };
  }

  /** Stops the timer, without ending the task. */
  close(): void {
    this.#timer?.close();
  }
}
