/**
 * What happens to an instance's routing. The core is a pure function of its
 * state, its random source and these; every event carries its moment.
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

/** Names one call of a caller within its entry instance. */
export type CallKey = string;

/** Names one sending of a call to a backend server. */
export type AttemptId = number;

/** What routing needs to know of a call; its body stays with the runtime. */
export interface RoutedCall {
  readonly key: CallKey;
  readonly service: ServiceId;
  readonly requestClass: string;
  readonly isIdempotent: boolean;
  readonly deadlineMs: number;
  readonly bodyBytes: number;
  /** Whether it came from an instance of another data centre. */
  readonly isForwarded: boolean;
}

/** How one attempt ended. */
export const AttemptResult = {
  /** The server's whole answer to this very request came. */
  answered: "answered",
  /** The server's whole answer came and says that the server failed. */
  serverError: "serverError",
  /** It is certain that no byte of the request reached the server. */
  notSent: "notSent",
  /** The server may have run the request. */
  ambiguous: "ambiguous",
} as const;

/** One of the values of {@link AttemptResult}. */
export type AttemptResult = typeof AttemptResult[keyof typeof AttemptResult];

/** What another data centre could take on, as it last reported. */
export interface RemoteLoad {
  readonly dataCentre: DataCentreId;
  readonly service: ServiceId;
  readonly freeSlots: number;
  /** One way, to its instances and back. */
  readonly roundTripMs: number;
  /** Whether bytes to it count against the budget of the region link. */
  readonly isOtherRegion: boolean;
}

/** An event into the routing core. */
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
    /** Slots of each server that this instance may use; the rest are 0. */
    readonly slots: ReadonlyMap<BackendServerId, number>;
  }
  | {
    readonly kind: "remoteLoadReported";
    readonly atMs: number;
    readonly load: RemoteLoad;
  }
  | { readonly kind: "tick"; readonly atMs: number };
