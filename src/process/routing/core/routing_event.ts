/**
 * Input events of the routing core, which is a pure function of its state, its
 * random source and these events. Every event carries its time.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreId,
  ServiceId,
} from "../../../base/identity.ts";
import type { Service } from "../../../version/document/document.ts";
import type { ServerAnnouncement } from "./server_announcement.ts";

/** Identifies a call within the instance that routes it. */
export type CallKey = string;

/** Identifies one attempt to send a call to a backend server. */
export type AttemptId = number;

/** The properties of a call that routing depends on, without its body. */
export interface RoutedCall {
  readonly key: CallKey;
  readonly service: ServiceId;
  readonly requestClass: string;
  readonly isIdempotent: boolean;
  readonly deadlineMs: number;
  readonly bodyBytes: number;
  /** Whether another data centre forwarded it; it isn't forwarded again. */
  readonly isForwarded: boolean;
}

/** How one attempt ended. */
export const AttemptResult = {
  /** The server's complete answer to this request arrived. */
  answered: "answered",
  /** A complete answer arrived and says that the server failed. */
  serverError: "serverError",
  /** It is certain that no byte of the request reached the server. */
  notSent: "notSent",
  /** The server may have run the request. */
  ambiguous: "ambiguous",
} as const;

/** One of the values of {@link AttemptResult}. */
export type AttemptResult = typeof AttemptResult[keyof typeof AttemptResult];

/** Free capacity of another data centre, as it last reported. */
export interface RemoteLoad {
  readonly dataCentre: DataCentreId;
  readonly service: ServiceId;
  readonly freeSlots: number;
  /** To its instances and back. */
  readonly roundTripMs: number;
  /** Whether bytes to it count against the byte budget for other regions. */
  readonly isOtherRegion: boolean;
}

/** An input event of the routing core. */
export type RoutingEvent =
  | {
    readonly kind: "configurationChanged";
    readonly atMs: number;
    readonly services: Readonly<Record<ServiceId, Service>>;
  }
  | {
    readonly kind: "serverAnnounced";
    readonly atMs: number;
    readonly announcement: ServerAnnouncement;
  }
  | {
    readonly kind: "callArrived";
    readonly atMs: number;
    readonly call: RoutedCall;
  }
  | {
    readonly kind: "callAbandoned";
    readonly atMs: number;
    readonly key: CallKey;
  }
  | {
    readonly kind: "attemptEnded";
    readonly atMs: number;
    readonly attemptId: AttemptId;
    readonly result: AttemptResult;
  }
  | {
    readonly kind: "forwardEnded";
    readonly atMs: number;
    readonly key: CallKey;
    readonly result: AttemptResult;
  }
  | {
    readonly kind: "slotsAllotted";
    readonly atMs: number;
    readonly service: ServiceId;
    /** Slots that this instance may use, by server; 0 for the others. */
    readonly slots: ReadonlyMap<BackendServerId, number>;
  }
  | {
    readonly kind: "remoteLoadReported";
    readonly atMs: number;
    readonly load: RemoteLoad;
  }
  | { readonly kind: "tick"; readonly atMs: number };
