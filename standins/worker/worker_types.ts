/**
 * What a stand-in worker is made with, and what it tells its tests.
 *
 * @module
 */

import type { TaskOutcome } from "../../src/process/scheduler/core/scheduler_event.ts";

/** How a worker announces itself. */
export interface WorkerCapacity {
  readonly rack: string;
  readonly cores: number;
  readonly memoryBytes: number;
  readonly accelerators: number;
}

/** A start or an end of a task, as it truly happened. */
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

/** A fence left out on purpose, in tests of the checks alone. */
export type OmittedFence = "term" | "late" | "released" | "lease";
