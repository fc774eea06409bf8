/**
 * Whether a job is taken in, or refused at once with a time to come back.
 *
 * For bursts and overload: a job that could only be done when its result is
 * worth nothing any more is refused, so that its caller can act on it, and it
 * takes no room from work that can be on time.
 *
 * @module
 */

import type { BatchState } from "../batch_state.ts";
import { JobPhase } from "../job_record.ts";
import type { JobSpec } from "../job_spec.ts";
import { RefusalReason } from "../job_call.ts";
import type {
  AccountConfiguration,
  QueueConfiguration,
} from "../pool_configuration.ts";

/** What the decision is made from. */
export interface AdmissionInput {
  readonly state: BatchState;
  readonly queue: QueueConfiguration;
  readonly account: AccountConfiguration | undefined;
  readonly spec: JobSpec;
  readonly nowMs: number;
}

/** What was decided. */
export type Admission =
  | { readonly kind: "accept" }
  | {
    readonly kind: "refuse";
    readonly reason: RefusalReason;
    readonly retryAfterS: number;
    readonly detail: string;
  };

/** The most active jobs that are kept; a bound on memory. */
const ACTIVE_JOBS_LIMIT = 5_000;

/** When a caller may come back after a full queue: about a job's length. */
const FULL_RETRY_S = 5;

/** Decides on one job. */
export function decideAdmission(input: AdmissionInput): Admission {
  let active = 0;
  for (const job of input.state.liveJobs.values()) {
    active += job.phase === JobPhase.active ? 1 : 0;
  }
  if (active >= ACTIVE_JOBS_LIMIT) {
    return {
      kind: "refuse",
      reason: RefusalReason.queueFull,
      retryAfterS: FULL_RETRY_S,
      detail: `${active} jobs are active`,
    };
  }
  return { kind: "accept" };
}
