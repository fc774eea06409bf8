/**
 * The replicated record of one job.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../../base/identity.ts";
import { jobSpecificationSchema, taskResourcesSchema } from "../core/job.ts";
import { JobOutcome } from "../core/scheduler_decision.ts";

const identity = z.string().regex(IDENTITY_PATTERN);
const timestampMs = z.number();

/** The worker on which one task of a gang is placed. */
export const taskPlacementSchema = z.strictObject({
  taskIndex: z.int().min(0),
  workerId: identity,
});

/** One attempt whose start was committed to the log. */
export const attemptRecordSchema = z.strictObject({
  attempt: z.int().min(1),
  /** The term of the leader that intended it. */
  term: z.int().min(0),
  placements: z.array(taskPlacementSchema).min(1),
  /** The resources of each task. */
  resources: taskResourcesSchema,
  configurationVersion: z.int().min(0),
  intendedAtMs: timestampMs,
  startedAtMs: timestampMs.optional(),
  endedAtMs: timestampMs.optional(),
  /** Why it ended, as text. */
  detail: z.string().optional(),
});

/** How a job ended. */
export const jobEndSchema = z.strictObject({
  outcome: z.enum(JobOutcome),
  atMs: timestampMs,
  error: z.string().optional(),
  detail: z.string().optional(),
});

/** A transfer to another data centre. */
export const jobTransferSchema = z.strictObject({
  toDataCentre: identity,
  intendedAtMs: timestampMs,
  /** When it was recorded here that the other data centre has the job. */
  acceptedAtMs: timestampMs.optional(),
});

/** One job. */
export const jobRecordSchema = z.strictObject({
  specification: jobSpecificationSchema,
  submittedAtMs: timestampMs,
  /** How many times the job was transferred to another data centre. */
  transfers: z.int().min(0),
  /** The highest attempt number used. */
  attemptsUsed: z.int().min(0),
  /** In how many attempts a task failed on its own. */
  failures: z.int().min(0),
  /** The attempt whose tasks may be running. */
  openAttempt: attemptRecordSchema.optional(),
  /** The most recent ended attempts, oldest first. */
  pastAttempts: z.array(attemptRecordSchema),
  isCancelled: z.boolean(),
  transfer: jobTransferSchema.optional(),
  end: jobEndSchema.optional(),
});

export type AttemptRecord = z.infer<typeof attemptRecordSchema>;
export type JobEnd = z.infer<typeof jobEndSchema>;
export type JobTransfer = z.infer<typeof jobTransferSchema>;
export type JobRecord = z.infer<typeof jobRecordSchema>;

/** Whether this data centre is the one that runs or queues the job. */
export function isOwned(record: JobRecord): boolean {
  return record.end === undefined && record.transfer === undefined;
}
