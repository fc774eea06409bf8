/**
 * What an instance's routing decides. The runtime carries decisions out and
 * answers with events.
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

/** A decision out of the routing core. */
export type RoutingDecision =
  | SendAttempt
  | ForwardCall
  | EndWithAnswer
  | EndWithError
  | EjectServer
  | ReadmitServer;

/** Send the call to the server, and report how that ended. */
export interface SendAttempt {
  readonly kind: "sendAttempt";
  readonly key: CallKey;
  readonly attemptId: AttemptId;
  readonly serverId: BackendServerId;
  readonly address: string;
  /** Counts from 1; above 1 it is a retry. */
  readonly tryNumber: number;
  /**
   * When the server is given up on; after the call's own deadline, since its
   * slot is taken for as long as it may be working.
   */
  readonly giveUpAtMs: number;
}

/** Have an instance of another data centre route the call. */
export interface ForwardCall {
  readonly kind: "forwardCall";
  readonly key: CallKey;
  readonly dataCentre: DataCentreId;
}

/** The call ends with the answer of its attempt or forwarding. */
export interface EndWithAnswer {
  readonly kind: "endWithAnswer";
  readonly key: CallKey;
  /** Undefined when the answer came from another data centre. */
  readonly attemptId: AttemptId | undefined;
}

/** The call ends without an answer. */
export interface EndWithError {
  readonly kind: "endWithError";
  readonly key: CallKey;
  readonly error: ErrorKind;
  readonly detail: string;
}

/** The server gets nothing but probes, the first after `probeAtMs`. */
export interface EjectServer {
  readonly kind: "ejectServer";
  readonly serverId: BackendServerId;
  readonly service: ServiceId;
  readonly reason: "failing" | "slow";
  readonly probeAtMs: number;
}

/** The server has answered a probe well and takes its share again. */
export interface ReadmitServer {
  readonly kind: "readmitServer";
  readonly serverId: BackendServerId;
  readonly service: ServiceId;
}
