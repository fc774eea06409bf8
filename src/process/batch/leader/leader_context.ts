/**
 * Options that every part of a leader's session needs.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type { EventLog } from "../../../base/event_log.ts";
import type { BatchState } from "../batch_state.ts";
import type { BatchTiming } from "../batch_timing.ts";
import type { WorkerCalls } from "../worker_calls.ts";

/** The replicated state, the calls to workers, and the leader's epoch. */
export interface LeaderContext {
  readonly state: BatchState;
  readonly clock: Clock;
  readonly calls: WorkerCalls;
  readonly events: EventLog;
  readonly timing: BatchTiming;
  readonly epoch: number;
}
