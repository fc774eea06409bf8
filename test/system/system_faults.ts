/**
 * Deliberate faults of the whole, by which tests show that the oracle would
 * notice them.
 *
 * @module
 */

import type { OmittedCheck } from "../../src/process/scheduler/runtime/session_context.ts";
import type { OmittedFence } from "../../standins/worker/worker_types.ts";

/** What is broken on purpose; nothing when absent. */
export interface SystemMutation {
  readonly omittedChecks?: readonly OmittedCheck[];
  readonly omittedFences?: readonly OmittedFence[];
  /** Disks report syncs that they don't do. */
  readonly syncLies?: boolean;
  /** With each start of an instance, all forget which requests they saw. */
  readonly forgetsRequests?: boolean;
  /** A lost answer is taken for a request that was never sent. */
  readonly misjudgesLoss?: boolean;
  /** An answer carries what another request got. */
  readonly crossesAnswers?: boolean;
  /** Every copy of the document seems current, however old it is. */
  readonly copiesSeemCurrent?: boolean;
}
