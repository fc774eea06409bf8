/**
 * The types of IDs. All IDs are opaque strings of 1 to 128 characters from
 * `[A-Za-z0-9._:-]`, the first of which is a letter or digit.
 *
 * @module
 */

/** One instance of the daemon, as named in its settings. */
export type InstanceId = string;

/** One data centre, as named in the configuration document. */
export type DataCentreId = string;

/** One region: a group of data centres with fast links between them. */
export type RegionId = string;

/** One client account that holds guarantees. */
export type ClientAccountId = string;

/** One worker: a machine that runs tasks. */
export type WorkerId = string;

/** One rack of workers within a data centre. */
export type RackId = string;

/** One backend server: a machine that answers requests of a service. */
export type BackendServerId = string;

/** One service, provided by its backend servers. */
export type ServiceId = string;

/** One job; chosen by the submitter, so that resubmission is idempotent. */
export type JobId = string;

/** One request; chosen by the caller, who sends retries under the same ID. */
export type RequestId = string;

/** One team that owns sections of the configuration document. */
export type TeamId = string;

/** The characters and length allowed for any ID. */
export const IDENTITY_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;

/** Whether `text` is a valid ID. */
export function isIdentity(text: string): boolean {
  return IDENTITY_PATTERN.test(text);
}
