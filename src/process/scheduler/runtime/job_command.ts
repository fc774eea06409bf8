/**
 * Commands about jobs in a data centre's log. Each carries its own time, so
 * that applying it is deterministic.
 *
 * Commands that only a leader may issue carry its term: one that arrives late,
 * after a higher term began, is refused.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import type { ErrorKind } from "../../../base/error_kind.ts";
import { IDENTITY_PATTERN } from "../../../base/identity.ts";
import { failure, type Result } from "../../../base/sesame_error.ts";
import { jobSpecificationSchema, taskResourcesSchema } from "../core/job.ts";
import {
  jobEndSchema,
  type JobRecord,
  taskPlacementSchema,
} from "./job_record.ts";
import { migrate, type Migration } from "./migration.ts";

const identity = z.string().regex(IDENTITY_PATTERN);

/** The format version of commands. */
export const JOB_COMMAND_FORMAT_VERSION = 1;

/** Migrations of older commands, one version per step. */
const COMMAND_MIGRATIONS: readonly Migration[] = [];

const common = {
  formatVersion: z.literal(JOB_COMMAND_FORMAT_VERSION),
  /** When it was proposed, by the proposer's clock. */
  atMs: z.number(),
};
const leaderOnly = { ...common, term: z.int().min(0) };
const ofAttempt = {
  ...leaderOnly,
  jobId: identity,
  attempt: z.int().min(1),
};

/** One command. */
export const jobCommandSchema = z.discriminatedUnion("kind", [
  /** A leader begins; commands of lower terms are refused from now on. */
  z.strictObject({ kind: z.literal("termBegan"), ...leaderOnly }),
  /** A job was submitted by a client or by another data centre. */
  z.strictObject({
    kind: z.literal("submitted"),
    ...common,
    specification: jobSpecificationSchema,
    submittedAtMs: z.number(),
    transfers: z.int().min(0),
    attemptsUsed: z.int().min(0),
  }),
  z.strictObject({ kind: z.literal("cancelled"), ...common, jobId: identity }),
  /** From now on tasks of the attempt may run. */
  z.strictObject({
    kind: z.literal("attemptIntended"),
    ...ofAttempt,
    placements: z.array(taskPlacementSchema).min(1).max(64),
    resources: taskResourcesSchema,
    configurationVersion: z.int().min(0),
  }),
  z.strictObject({ kind: z.literal("attemptStarted"), ...ofAttempt }),
  /** No task of the attempt runs any more, nor can one start. */
  z.strictObject({
    kind: z.literal("attemptEnded"),
    ...ofAttempt,
    /** Whether a task failed on its own. */
    hasFailed: z.boolean(),
    /** Whether every task succeeded, which also ends the job. */
    hasSucceeded: z.boolean().optional(),
    detail: z.string().max(256),
  }),
  z.strictObject({
    kind: z.literal("ended"),
    ...leaderOnly,
    jobId: identity,
    outcome: jobEndSchema.shape.outcome,
    error: z.string().optional(),
    detail: z.string().max(1024).optional(),
  }),
  /** From now on the job waits for the other data centre to accept it. */
  z.strictObject({
    kind: z.literal("transferIntended"),
    ...leaderOnly,
    jobId: identity,
    toDataCentre: identity,
  }),
  z.strictObject({
    kind: z.literal("transferAccepted"),
    ...leaderOnly,
    jobId: identity,
    /** Whether the other data centre also accepted a cancellation. */
    isCancellationPassedOn: z.boolean(),
  }),
]);

export type JobCommand = z.infer<typeof jobCommandSchema>;

/** The outcome of applying a command. */
export type JobCommandOutcome =
  | { readonly kind: "applied"; readonly record?: JobRecord }
  /** An earlier command had the same effect, or the job had ended. */
  | { readonly kind: "existing"; readonly record: JobRecord }
  | {
    readonly kind: "refused";
    readonly error: ErrorKind;
    readonly detail: string;
  };

/** Decodes a command of this or an earlier format; else `malformed`. */
export function decodeJobCommand(raw: unknown): Result<JobCommand> {
  const migrated = migrate(raw, {
    migrations: COMMAND_MIGRATIONS,
    currentVersion: JOB_COMMAND_FORMAT_VERSION,
  });
  return migrated.chain((current) => {
    const parsed = jobCommandSchema.safeParse(current);
    return parsed.success
      ? Right(parsed.data)
      : failure("malformed", { detail: z.prettifyError(parsed.error) });
  });
}
