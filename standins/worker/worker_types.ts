/**
 * The options of a stand-in worker, and the events that it emits in tests.
 *
 * @module
 */

import type { TaskOutcome } from "../../src/process/scheduler/core/scheduler_event.ts";

/** The location and capacity that a worker reports. */
export interface WorkerCapacity {
  readonly rack: string;
  readonly cores: number;
  readonly memoryBytes: number;
  readonly accelerators: number;
}

/** An actual start or end of a task. */
export type TaskEvent =
  & {
    readonly workerId: string;
    readonly jobId: string;
    readonly attempt: number;
    readonly taskIndex: number;
  }
  & (
    | { readonly kind: "started"; readonly term: number }
    | { readonly kind: "ended"; readonly outcome: TaskOutcome }
  );

/**
 * A check that the worker omits, so that a test can show that it detects the
 * omission: `term` of the leader, `late` for a command's validity, `released`
 * for an attempt that was released, `lease` for the lease's end.
 */
export type OmittedFence = "term" | "late" | "released" | "lease";
