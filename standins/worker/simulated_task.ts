/**
 * One pretend task: a timer that ends it, and what it is seen to use.
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

/** How long a pretend task runs when its command doesn't say. */
export const PRETEND_RUN_MS = 1_000;

/** Options of {@link PretendTask}. */
export interface PretendTaskOptions {
  readonly clock: Clock;
  readonly jobId: string;
  readonly attempt: number;
  readonly taskIndex: number;
  readonly resources: TaskResources;
  /** `["run", "<ms>"]` or `["fail", "<ms>"]`. */
  readonly command: readonly string[];
  readonly onEnd: (task: PretendTask) => void;
}

/** How a start of a pretend task is bent by faults. */
export interface PretendStart {
  readonly fails: boolean;
  readonly runTimeFactor: number;
}

/** A task that does nothing but last. */
export class PretendTask {
  readonly #options: PretendTaskOptions;
  #state: HeldTask["state"] = "reserved";
  #outcome: TaskOutcome | undefined;
  #timer: Timer | undefined;
  #checkpointedAtMs: number | undefined;
  #coresFraction = 1;

  constructor(options: PretendTaskOptions) {
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

  start(how: PretendStart): void {
    const { clock, command } = this.#options;
    const [verb, lengthMs] = command;
    const declaredMs = Number(lengthMs ?? PRETEND_RUN_MS);
    const fails = how.fails || verb === "fail";
    this.#state = "running";
    this.#timer = clock.after(
      declaredMs * how.runTimeFactor,
      () => this.end(fails ? "failed" : "succeeded"),
    );
  }

  throttle(coresFraction: number): void {
    this.#coresFraction = coresFraction;
  }

  checkpoint(): void {
    this.#checkpointedAtMs = this.#options.clock.nowMs();
  }

  /** Ends a running task; others are left as they are. */
  end(outcome: TaskOutcome): void {
    if (this.#state !== "running") {
      return;
    }
    this.#timer?.close();
    this.#state = "ended";
    this.#outcome = outcome;
    this.#options.onEnd(this);
  }

  held(): HeldTask {
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
    const at = this.#checkpointedAtMs;
    return {
      jobId,
      attempt,
      taskIndex,
      cores: resources.cores * sizeFactor * this.#coresFraction,
      memoryBytes: Math.round(resources.memoryBytes * sizeFactor),
      accelerators: resources.accelerators,
      ...(at === undefined ? {} : { checkpointAgeMs: clock.nowMs() - at }),
    };
  }

  /** Drops its timer, for a worker that dies. */
  close(): void {
    this.#timer?.close();
  }
}
