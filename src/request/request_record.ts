/**
 * A caller's request and its outcome.
 *
 * @module
 */

import type {
  ClientAccountId,
  RequestId,
  ServiceId,
} from "../base/identity.ts";
import type { SesameError } from "../base/sesame_error.ts";

/** A validated request, with all defaults filled in. */
export interface RequestRecord {
  readonly requestId: RequestId;
  readonly service: ServiceId;
  readonly clientAccount: ClientAccountId | undefined;
  /** The name of one of the service's request classes. */
  readonly requestClass: string;
  readonly isIdempotent: boolean;
  readonly receivedAtMs: number;
  readonly deadlineMs: number;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  /** The configuration version under which the request was admitted. */
  readonly configurationVersion: number;
}

/** A complete answer of a backend server. */
export interface ServerAnswer {
  readonly requestId: RequestId;
  readonly httpStatus: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
}

/** The outcome of a request. */
export type RequestOutcome =
  | { readonly kind: "answered"; readonly answer: ServerAnswer }
  | { readonly kind: "failed"; readonly error: SesameError };
