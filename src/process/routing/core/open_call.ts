/**
 * The state of a call in its service's router.
 *
 * @module
 */

import type { ErrorKind } from "../../../base/error_kind.ts";
import type { BackendServerId } from "../../../base/identity.ts";
import type { RoutingDecision } from "./routing_decision.ts";
import type { AttemptId, CallKey, RoutedCall } from "./routing_event.ts";

/** A call that hasn't ended yet. */
export interface OpenCall extends RoutedCall {
  readonly rank: number;
  readonly triedServers: Set<BackendServerId>;
  /** The attempt in flight; undefined while the call is queued or forwarded. */
  attemptId: AttemptId | undefined;
  hasBeenForwarded: boolean;
  /** Whether a server may have run it in an attempt that has ended. */
  mayHaveRun: boolean;
}

/** The state of a call that has just arrived. */
export function createOpenCall(call: RoutedCall, rank: number): OpenCall {
  return {
    ...call,
    rank,
    triedServers: new Set(),
    attemptId: undefined,
    hasBeenForwarded: false,
    mayHaveRun: false,
  };
}

/** The decision to end a call without an answer. */
export function endWithError(
  key: CallKey,
  error: ErrorKind,
  detail: string,
): RoutingDecision {
  return { kind: "endWithError", key, error, detail };
}
