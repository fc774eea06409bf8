/**
 * What every part of a leader's time in office stands on.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type { EventLog } from "../../../base/event_log.ts";
import type { BatchState } from "../batch_state.ts";
import type { BatchTiming } from "../batch_timing.ts";
import type { WorkerCalls } from "../worker_calls.ts";

/** The state that it leads, and its way to the workers. */
export interface LeaderContext {
  readonly state: BatchState;
  readonly clock: Clock;
  readonly calls: WorkerCalls;
  readonly events: EventLog;
  readonly timing: BatchTiming;
  readonly epoch: number;
}
