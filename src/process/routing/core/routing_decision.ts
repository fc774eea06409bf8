/**
 * Decisions of the routing core. The runtime carries them out and reports
 * their results as events.
 *
 * @module
 */

import type { ErrorKind } from "../../../base/error_kind.ts";
import type {
  BackendServerId,
  DataCentreId,
  ServiceId,
} from "../../../base/identity.ts";
import type { AttemptId, CallKey } from "./routing_event.ts";

/** A decision of the routing core. */
export type RoutingDecision =
  | SendAttempt
  | ForwardCall
  | EndWithAnswer
  | EndWithError
  | EjectServer
  | ReadmitServer;

/** Send the call to the server and report the result. */
export interface SendAttempt {
  readonly kind: "sendAttempt";
  readonly key: CallKey;
  readonly attemptId: AttemptId;
  readonly serverId: BackendServerId;
  readonly address: string;
  /** Number of distinct servers tried, with this one; a retry if above 1. */
  readonly tryNumber: number;
  /**
   * When the attempt times out. Later than the call's deadline, since the slot
   * stays in use while the server may still be working.
   */
  readonly giveUpAtMs: number;
}

/** Have an instance of another data centre route the call. */
export interface ForwardCall {
  readonly kind: "forwardCall";
  readonly key: CallKey;
  readonly dataCentre: DataCentreId;
}

/** End the call with the answer of its attempt or of another data centre. */
export interface EndWithAnswer {
  readonly kind: "endWithAnswer";
  readonly key: CallKey;
  /** Undefined when the answer came from another data centre. */
  readonly attemptId: AttemptId | undefined;
}

/** End the call without an answer. */
export interface EndWithError {
  readonly kind: "endWithError";
  readonly key: CallKey;
  readonly error: ErrorKind;
  readonly detail: string;
}

/** The server gets only probes, the first at `probeAtMs` or later. */
export interface EjectServer {
  readonly kind: "ejectServer";
  readonly serverId: BackendServerId;
  readonly service: ServiceId;
  readonly reason: "failing" | "slow";
  readonly probeAtMs: number;
}

/** The server answered a probe in time and gets normal traffic again. */
export interface ReadmitServer {
  readonly kind: "readmitServer";
  readonly serverId: BackendServerId;
  readonly service: ServiceId;
}
