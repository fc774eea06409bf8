/**
 * The configuration document that operators edit: the schemas and types of its
 * sections. In TOML each section is one table, `[kind.name]`, and `kind.name`
 * is its ID.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../base/identity.ts";

const idSchema = z.string().regex(IDENTITY_PATTERN);
const count = z.int().min(0).max(1_000_000);
const positive = z.int().min(1).max(1_000_000);
const milliseconds = z.int().min(0).max(30 * 86_400_000);
const bytes = z.int().min(0).max(Number.MAX_SAFE_INTEGER);
const fraction = z.number().min(0).max(1);

/** A team: its owner and its keys, as salted hashes. */
export const teamSchema = z.strictObject({
  owner: idSchema,
  /** Each as `scrypt$<salt hex>$<hash hex>`. */
  keyHashes: z.array(z.string().regex(/^scrypt\$[0-9a-f]+\$[0-9a-f]+$/)).max(8),
});

/** A shape of adjacent accelerators guaranteed to a client account. */
export const guaranteeSchema = z.strictObject({
  dataCentre: idSchema,
  /** Number of racks that the shape spans. */
  racks: positive,
  /** Number of workers in each of those racks. */
  workersPerRack: positive,
  /** Number of accelerators on each of those workers. */
  acceleratorsPerWorker: positive,
  /** Number of such shapes that are guaranteed. */
  count: positive,
});

/** A client account: its guarantees and its share beyond them. */
export const clientAccountSchema = z.strictObject({
  owner: idSchema,
  guarantees: z.array(guaranteeSchema).max(64).default([]),
  /** Weight in the fair sharing of capacity beyond guarantees. */
  borrowingWeight: z.number().min(0).max(1000).default(1),
  /** Maximum accelerators in use beyond guarantees; unlimited when absent. */
  borrowingLimitAccelerators: count.optional(),
  /** Maximum queued jobs. */
  queuedJobsLimit: positive.default(10_000),
});

/** A job class: the rank of its jobs and how they may be interrupted. */
export const jobClassSchema = z.strictObject({
  owner: idSchema,
  /** Lower ranks are scheduled first; 0 is urgent. */
  rank: z.int().min(0).max(9),
  /** Time within which an urgent job should start; a default when absent. */
  startTargetMs: milliseconds.optional(),
  /**
   * Time that a job has to write a checkpoint before it is stopped. A job that
   * preempts it may allow less; in a drain `drainMs` applies instead.
   */
  checkpointMs: milliseconds.default(30_000),
  /** Waiting time after which a job may get a reservation. */
  reservationAfterMs: milliseconds.default(600_000),
  /**
   * A job that runs beyond its client account's guarantee is throttled after
   * this multiple of its expected run time.
   */
  throttleFactor: z.number().min(1).max(100).default(3),
  /** A job is stopped after this multiple of its expected run time. */
  stopFactor: z.number().min(1).max(1000).default(10),
  /** Failures of its own tasks after which a job is not started again. */
  attemptsLimit: positive.default(3),
});

/** A rack of identical workers. */
export const rackSchema = z.strictObject({
  name: idSchema,
  workers: positive,
  coresPerWorker: positive,
  memoryBytesPerWorker: bytes,
  acceleratorsPerWorker: count,
});

/** A data centre: its hardware and whether it accepts new work. */
export const dataCentreSchema = z.strictObject({
  owner: idSchema,
  region: idSchema,
  /** When `out`, no task starts here and running ones are moved elsewhere. */
  status: z.enum(["in", "out"]).default("in"),
  /** Time in which running work is checkpointed and moved once out. */
  drainMs: milliseconds.default(120_000),
  /**
   * How long the data centre may keep starting tasks while it can't find out
   * whether it was taken out.
   */
  startPermissionMs: milliseconds.default(2_000),
  /**
   * Once back in, the accelerators that running work may use grow by this
   * fraction of all per minute. Urgent jobs are exempt.
   */
  returnFractionPerMinute: fraction.default(0.25),
  racks: z.array(rackSchema).max(256).default([]),
});

/** One class of a service's requests. */
export const requestClassSchema = z.strictObject({
  name: idSchema,
  /** Lower ranks are served first. */
  rank: z.int().min(0).max(9),
  /** Maximum queued requests of this class per instance. */
  queueLimit: count.default(200),
  /** Timeout of requests whose caller gives none. */
  defaultTimeoutMs: milliseconds.default(2_000),
});

/** A service: the rules for its backend servers and its requests. */
export const serviceSchema = z.strictObject({
  owner: idSchema,
  /** Maximum concurrent requests per backend server. */
  slotsPerServer: positive.default(8),
  connectionsPerServer: positive.default(60),
  /** Routing weight by data centre: 1 when absent, 0 for no requests. */
  dataCentreWeights: z.record(idSchema, z.number().min(0).max(100)).default({}),
  classes: z.array(requestClassSchema).min(1).max(10),
  bodyLimitBytes: bytes.default(1_048_576),
  answerLimitBytes: bytes.default(8_388_608),
  /** Maximum retries of a request that is idempotent or can't have run. */
  retryLimit: count.default(2),
  /** Maximum retries of all callers, as a fraction of first attempts. */
  retryBudgetFraction: fraction.default(0.1),
  /**
   * Maximum bytes per second of calls forwarded to other regions: the body of
   * each request and an allowance for its answer.
   */
  crossRegionBytesPerSecond: bytes.default(250_000),
  /** Maximum fraction of the servers that may be ejected at the same time. */
  ejectionFractionLimit: fraction.default(0.3),
  /** How long the outcome of a non-idempotent request is kept. */
  outcomeRetentionMs: milliseconds.default(600_000),
  /** Backend servers that get no new requests. */
  drainedServers: z.array(idSchema).max(1000).default([]),
});

/** The schema of each kind of section. */
export const SECTION_SCHEMAS = {
  teams: teamSchema,
  clientAccounts: clientAccountSchema,
  jobClasses: jobClassSchema,
  dataCentres: dataCentreSchema,
  services: serviceSchema,
} as const;

/** A kind of section. */
export type SectionKind = keyof typeof SECTION_SCHEMAS;

/** Version of the document format. */
export const DOCUMENT_FORMAT_VERSION = 1;

/** The whole document. */
export const documentSchema = z.strictObject({
  formatVersion: z.literal(DOCUMENT_FORMAT_VERSION),
  teams: z.record(idSchema, teamSchema).default({}),
  clientAccounts: z.record(idSchema, clientAccountSchema).default({}),
  jobClasses: z.record(idSchema, jobClassSchema).default({}),
  dataCentres: z.record(idSchema, dataCentreSchema).default({}),
  services: z.record(idSchema, serviceSchema).default({}),
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
