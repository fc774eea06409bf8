/**
 * The interface of the scheduler core that the runtime uses.
 *
 * @module
 */

import type { JobId } from "../../../base/identity.ts";
import type {
  SchedulerDecision,
  WaitReason,
} from "../core/scheduler_decision.ts";
import type { JobRecord, RestoreOptions } from "../core/mod.ts";
import type { SchedulerEvent } from "../core/scheduler_event.ts";

/** Makes decisions, without a clock, randomness or I/O of its own. */
export interface DecisionCore {
  /** Restores jobs of earlier leaders; events then report what is running. */
  restore(records: readonly JobRecord[], options: RestoreOptions): void;
  handle(event: SchedulerEvent): readonly SchedulerDecision[];
  /** Why a job waits now; undefined when it doesn't wait or isn't known. */
  waitReason(jobId: JobId): WaitReason | undefined;
}

/** Creates an empty core for a new leader session. */
export type DecisionCoreFactory = () => DecisionCore;
