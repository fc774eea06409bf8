/**
 * A call as its service's router follows it.
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
  /** The attempt on its way; undefined while it waits. */
  attemptId: AttemptId | undefined;
  isForwardedOn: boolean;
  /** Whether a server may have run it. */
  mayHaveRun: boolean;
}

/** A call that has just arrived. */
export function openCall(call: RoutedCall, rank: number): OpenCall {
  return {
    ...call,
    rank,
    triedServers: new Set(),
    attemptId: undefined,
    isForwardedOn: false,
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
