/**
 * The narrow face of the scheduler core that the runtime drives.
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

/** Decides; holds no time, randomness or I/O of its own. */
export interface DecisionCore {
  /** Takes over from an earlier leader; what runs is told by events. */
  restore(records: readonly JobRecord[], options: RestoreOptions): void;
  handle(event: SchedulerEvent): readonly SchedulerDecision[];
  /** Why a job waits now; undefined when it doesn't, or isn't known. */
  waitReason(jobId: JobId): WaitReason | undefined;
}

/** Makes the core of a new leader, with nothing in it. */
export type DecisionCoreFactory = () => DecisionCore;
