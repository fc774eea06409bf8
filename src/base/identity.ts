/**
 * Names of the things that the system tells apart. All are opaque strings of
 * 1 to 128 characters from `[A-Za-z0-9._:-]`.
 *
 * @module
 */

/** One running entry instance of the daemon, as named in its settings. */
export type InstanceId = string;

/** One data centre, as named in the document. */
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

/** One service, answered by its backend servers. */
export type ServiceId = string;

/** One job, named by its submitter; a resubmission with it is idempotent. */
export type JobId = string;

/** One request, named by its caller; a retry carries the same name. */
export type RequestId = string;

/** One team that owns sections of the document. */
export type TeamId = string;

/** The characters and length that any identity may have. */
export const IDENTITY_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;

/** Whether `text` may serve as an identity. */
export function isIdentity(text: string): boolean {
  return IDENTITY_PATTERN.test(text);
}
