/**
 * How calls are sent to one instance.
 *
 * @module
 */

import type { Result } from "../../base/sesame_error.ts";
import type { JobAnswer, JobCall } from "./job_call.ts";

/** Options of one call. */
export interface CallOptions {
  readonly timeoutMs: number;
  /** Abandons the call, which may be carried out all the same. */
  readonly signal?: AbortSignal;
  /** Called when the call is about to be sent: from then on it may be received. */
  readonly onSending?: () => void;
}

/**
 * Sends calls to instances. Fails with `unavailable` if the call certainly
 * wasn't carried out, and with `outcomeUnknown` if it may have been.
 */
export interface CallTransport {
  call(
    instanceId: string,
    call: JobCall,
    options: CallOptions,
  ): Promise<Result<JobAnswer>>;
  close(): Promise<void>;
}
