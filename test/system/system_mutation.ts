/**
 * Deliberate defects of the system, with which tests show that the oracle
 * detects violations.
 *
 * @module
 */

import type { OmittedCheck } from "../../src/process/scheduler/runtime/session_context.ts";
import type { OmittedFence } from "../../standins/worker/worker_types.ts";

/** The defects of a simulation; none by default. */
export interface SystemMutation {
  readonly omittedChecks?: readonly OmittedCheck[];
  readonly omittedFences?: readonly OmittedFence[];
  /** Disks report syncs as done that they have not done. */
  readonly syncLies?: boolean;
  /** Each start of an instance clears the request ledgers of all instances. */
  readonly clearsLedgers?: boolean;
  /** A request whose answer is lost is reported as never sent. */
  readonly reportsLostAsNotSent?: boolean;
  /** A backend server answers a request with the answer to the one before. */
  readonly swapsAnswers?: boolean;
  /** Every copy of the document counts as current, however old it is. */
  readonly treatsCopiesAsCurrent?: boolean;
}
