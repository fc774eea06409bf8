/**
 * The document that operators edit: its sections, as types with their
 * validators. In TOML each section is one table, `[kind.name]`; the section's
 * identity is `kind.name`.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../base/identity.ts";

const identity = z.string().regex(IDENTITY_PATTERN);
const count = z.int().min(0).max(1_000_000);
const positive = z.int().min(1).max(1_000_000);
const milliseconds = z.int().min(0).max(30 * 86_400_000);
const bytes = z.int().min(0).max(Number.MAX_SAFE_INTEGER);
const fraction = z.number().min(0).max(1);

/** A team: who holds its keys, each as a salted hash. */
export const teamSchema = z.strictObject({
  owner: identity,
  /** Each `scrypt$<salt hex>$<hash hex>`. */
  keyHashes: z.array(z.string().regex(/^scrypt\$[0-9a-f]+\$[0-9a-f]+$/)).max(8),
});

/** One shape of adjacent accelerators that a client account may reclaim. */
export const guaranteeSchema = z.strictObject({
  dataCentre: identity,
  /** How many racks the shape spans. */
  racks: positive,
  /** Whole workers taken in each of those racks. */
  workersPerRack: positive,
  /** Accelerators taken on each of those workers. */
  acceleratorsPerWorker: positive,
  /** How many such shapes are guaranteed. */
  count: positive,
});

/** A client account, its guarantees and its share beyond them. */
export const clientAccountSchema = z.strictObject({
  owner: identity,
  guarantees: z.array(guaranteeSchema).max(64).default([]),
  /** Weight of the fair share beyond guarantees. */
  borrowingWeight: z.number().min(0).max(1000).default(1),
  /** Most accelerators held beyond guarantees; no limit when absent. */
  borrowingLimitAccelerators: count.optional(),
  /** Most jobs that may wait at once. */
  queuedJobsLimit: positive.default(10_000),
});

/** A job class: how its jobs rank and how they may be interrupted. */
export const jobClassSchema = z.strictObject({
  owner: identity,
  /** Lower ranks go first; 0 is urgent. */
  rank: z.int().min(0).max(9),
  /** Within what time an urgent job should start; absent for no target. */
  startTargetMs: milliseconds.optional(),
  /** How long a checkpoint may take before a stop. */
  checkpointMs: milliseconds.default(30_000),
  /** After what waiting a job gets a reservation. */
  reservationAfterMs: milliseconds.default(600_000),
  /** Factor over the corrected run time after which a job is throttled. */
  throttleFactor: z.number().min(1).max(100).default(3),
  /** Factor over the corrected run time after which a job is stopped. */
  stopFactor: z.number().min(1).max(1000).default(10),
  /** How often a job is started again after failures of its own tasks. */
  attemptsLimit: positive.default(3),
});

/** One rack: its workers are alike. */
export const rackSchema = z.strictObject({
  name: identity,
  workers: positive,
  coresPerWorker: positive,
  memoryBytesPerWorker: bytes,
  acceleratorsPerWorker: count,
});

/** A data centre, its hardware and whether it takes new work. */
export const dataCentreSchema = z.strictObject({
  owner: identity,
  region: identity,
  /** `out`: no task starts here, and running ones are moved away. */
  status: z.enum(["in", "out"]).default("in"),
  /** Within what time running work is checkpointed and moved when out. */
  drainMs: milliseconds.default(120_000),
  /**
   * How long the data centre may go on starting tasks while it can't learn
   * whether it was taken out.
   */
  startPermissionMs: milliseconds.default(2_000),
  /** Most work, as a fraction of accelerators, let back in per minute. */
  returnFractionPerMinute: fraction.default(0.25),
  racks: z.array(rackSchema).max(256).default([]),
});

/** One class of a service's requests. */
export const requestClassSchema = z.strictObject({
  name: identity,
  /** Lower ranks go first. */
  rank: z.int().min(0).max(9),
  /** Most requests of this class that may wait in one instance. */
  queueLimit: count.default(200),
  /** The deadline when a caller states none. */
  defaultTimeoutMs: milliseconds.default(2_000),
});

/** A service: the rules for its backend servers and its requests. */
export const serviceSchema = z.strictObject({
  owner: identity,
  /** Most requests at once on one backend server. */
  slotsPerServer: positive.default(8),
  connectionsPerServer: positive.default(60),
  /** Routing weight of each data centre; 1 when absent, 0 for none. */
  dataCentreWeights: z.record(identity, z.number().min(0).max(100)).default({}),
  classes: z.array(requestClassSchema).min(1).max(10),
  bodyLimitBytes: bytes.default(1_048_576),
  answerLimitBytes: bytes.default(8_388_608),
  /** How often an idempotent request is sent again after a failure. */
  retryLimit: count.default(2),
  /** Retries as a fraction of first tries, over all callers. */
  retryBudgetFraction: fraction.default(0.1),
  /** Bytes a second that this service may send over the region link. */
  crossRegionBytesPerSecond: bytes.default(250_000),
  /** Most of the servers that may be ejected at once. */
  ejectionFractionLimit: fraction.default(0.3),
  /** How long the outcome of a non-idempotent request is remembered. */
  outcomeRetentionMs: milliseconds.default(600_000),
  /** Backend servers that operators are draining. */
  drainedServers: z.array(identity).max(1000).default([]),
});

/** The kinds of section, with the validator of each. */
export const SECTION_SCHEMAS = {
  teams: teamSchema,
  clientAccounts: clientAccountSchema,
  jobClasses: jobClassSchema,
  dataCentres: dataCentreSchema,
  services: serviceSchema,
} as const;

/** One kind of section. */
export type SectionKind = keyof typeof SECTION_SCHEMAS;

/** The version of the document's own format. */
export const DOCUMENT_FORMAT_VERSION = 1;

/** The whole document. */
export const documentSchema = z.strictObject({
  formatVersion: z.literal(DOCUMENT_FORMAT_VERSION),
  teams: z.record(identity, teamSchema).default({}),
  clientAccounts: z.record(identity, clientAccountSchema).default({}),
  jobClasses: z.record(identity, jobClassSchema).default({}),
  dataCentres: z.record(identity, dataCentreSchema).default({}),
  services: z.record(identity, serviceSchema).default({}),
});

export type Team = z.infer<typeof teamSchema>;
export type Guarantee = z.infer<typeof guaranteeSchema>;
export type ClientAccount = z.infer<typeof clientAccountSchema>;
export type JobClass = z.infer<typeof jobClassSchema>;
export type Rack = z.infer<typeof rackSchema>;
export type DataCentre = z.infer<typeof dataCentreSchema>;
export type RequestClass = z.infer<typeof requestClassSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Document = z.infer<typeof documentSchema>;
