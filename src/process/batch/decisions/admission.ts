/**
 * Decides whether a submitted job is accepted, or refused at once with a time
 * after which the caller may retry. In bursts and under overload, jobs are
 * refused while too many are active, so that their callers can act on it.
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

/** The submitted job and what the decision depends on. */
export interface AdmissionInput {
  readonly state: BatchState;
  readonly queue: QueueConfiguration;
  readonly account: AccountConfiguration | undefined;
  readonly spec: JobSpec;
  readonly nowMs: number;
}

/** The decision. */
export type Admission =
  | { readonly kind: "accept" }
  | {
    readonly kind: "refuse";
    readonly reason: RefusalReason;
    readonly retryAfterS: number;
    readonly detail: string;
  };

/** Maximum number of active jobs; limits memory. */
const ACTIVE_JOBS_LIMIT = 5_000;

/** Retry time after a full queue: about the duration of one job. */
const FULL_RETRY_S = 5;

/** Decides whether one job is accepted. */
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
