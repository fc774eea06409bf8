/**
 * Jobs and workers as callers see them.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../../base/identity.ts";
import { jobSpecificationSchema } from "../core/job.ts";
import { WaitReason } from "../core/scheduler_decision.ts";
import {
  attemptRecordSchema,
  jobEndSchema,
  type JobRecord,
} from "./job_record.ts";

const identity = z.string().regex(IDENTITY_PATTERN);

const waitReasons = Object.keys(WaitReason) as [WaitReason, ...WaitReason[]];

/** One job. */
export const jobViewSchema = z.strictObject({
  jobId: identity,
  /** Whose log this was read from. */
  dataCentre: identity,
  state: z.enum(["queued", "running", "moving", "moved", "ended"]),
  isCancelled: z.boolean(),
  /** Why it waits; absent when it doesn't, or the leader can't be asked. */
  waitReason: z.enum(waitReasons).optional(),
  /** The same for people. */
  waitText: z.string().optional(),
  submittedAtMs: z.number(),
  /** The attempt of which tasks may run: placements and version with it. */
  openAttempt: attemptRecordSchema.optional(),
  pastAttempts: z.array(attemptRecordSchema),
  /** Where it went, when moving or moved. */
  movedTo: identity.optional(),
  end: jobEndSchema.optional(),
  specification: jobSpecificationSchema,
});

/** One worker, as the leader knows it. */
export const workerViewSchema = z.strictObject({
  workerId: identity,
  dataCentre: identity,
  rack: identity,
  address: z.string(),
  cores: z.number(),
  memoryBytes: z.number(),
  accelerators: z.number(),
  incarnation: z.int(),
  isLeaving: z.boolean(),
  isQuarantined: z.boolean(),
  heardAtMs: z.number(),
  runningTasks: z.int(),
});

export type JobView = z.infer<typeof jobViewSchema>;
export type WorkerView = z.infer<typeof workerViewSchema>;

/** What the log says of a job, and why it waits. */
export function viewJob(
  record: JobRecord,
  options: { dataCentre: string; waitReason: WaitReason | undefined },
): JobView {
  const { specification, openAttempt, transfer, end } = record;
  const state = stateOf(record);
  const waitReason = state === "queued" ? options.waitReason : undefined;
  return {
    jobId: specification.jobId,
    dataCentre: options.dataCentre,
    state,
    isCancelled: record.isCancelled,
    submittedAtMs: record.submittedAtMs,
    pastAttempts: record.pastAttempts,
    specification,
    ...(waitReason === undefined
      ? {}
      : { waitReason, waitText: WaitReason[waitReason] }),
    ...(openAttempt === undefined ? {} : { openAttempt }),
    ...(transfer === undefined ? {} : { movedTo: transfer.toDataCentre }),
    ...(end === undefined ? {} : { end }),
  };
}

function stateOf(record: JobRecord): JobView["state"] {
  if (record.end !== undefined) {
    return "ended";
  }
  if (record.transfer !== undefined) {
    return record.transfer.acceptedAtMs === undefined ? "moving" : "moved";
  }
  return record.openAttempt === undefined ? "queued" : "running";
}
