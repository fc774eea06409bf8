/**
 * The record of a job from which a new leader can take it over.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../../base/identity.ts";
import { resourcesOf } from "./amounts.ts";
import { jobSpecificationSchema, taskResourcesSchema } from "./job.ts";
import { JobPhase, type JobState } from "./job_state.ts";
import { JobOutcome, StopReason } from "./scheduler_decision.ts";

const identity = z.string().regex(IDENTITY_PATTERN);
const stopReasons = Object.keys(StopReason) as (keyof typeof StopReason)[];

/** The version of the record format. */
export const JOB_RECORD_FORMAT_VERSION = 1;

/** The record of one job. */
export const jobRecordSchema = z.strictObject({
  formatVersion: z.literal(JOB_RECORD_FORMAT_VERSION),
  specification: jobSpecificationSchema,
  submittedAtMs: z.number(),
  phase: z.enum(JobPhase),
  attempt: z.int().min(0),
  /** The resources that each task of the attempt takes. */
  need: taskResourcesSchema,
  placements: z.array(z.strictObject({
    taskIndex: z.int().min(0),
    workerId: identity,
  })),
  startedAtMs: z.number().optional(),
  checkpointedAtMs: z.number().optional(),
  attainedAcceleratorMs: z.number(),
  failures: z.int().min(0),
  configurationVersion: z.int().min(0),
  stopReason: z.enum(stopReasons).optional(),
  outcomeAfterStop: z.enum(JobOutcome).optional(),
  outcome: z.enum(JobOutcome).optional(),
});

/** The record of one job. */
export type JobRecord = z.infer<typeof jobRecordSchema>;

/** Makes the record of a job. */
export function recordOf(job: JobState): JobRecord {
  return {
    formatVersion: JOB_RECORD_FORMAT_VERSION,
    specification: job.specification,
    submittedAtMs: job.submittedAtMs,
    phase: job.phase,
    attempt: job.attempt,
    need: resourcesOf(job.need),
    placements: [...job.placements],
    attainedAcceleratorMs: job.attainedAcceleratorMs,
    failures: job.failures,
    configurationVersion: job.configurationVersion,
    ...defined("startedAtMs", job.startedAtMs),
    ...defined("checkpointedAtMs", job.checkpointedAtMs),
    ...defined("stopReason", job.stopReason),
    ...defined("outcomeAfterStop", job.outcomeAfterStop),
    ...defined("outcome", job.outcome),
  };
}

function defined<K extends string, V>(
  key: K,
  value: V | undefined,
): Partial<Record<K, V>> {
  return value === undefined ? {} : { [key]: value } as Record<K, V>;
}
