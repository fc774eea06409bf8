/**
 * Jobs and workers as shown to callers.
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
  /** The data centre from whose log this was read. */
  dataCentre: identity,
  state: z.enum(["queued", "running", "moving", "moved", "ended"]),
  isCancelled: z.boolean(),
  /** Absent when the job isn't waiting or the leader can't be reached. */
  waitReason: z.enum(waitReasons).optional(),
  /** The wait reason in words. */
  waitText: z.string().optional(),
  submittedAtMs: z.number(),
  /** The attempt whose tasks may be running. */
  openAttempt: attemptRecordSchema.optional(),
  pastAttempts: z.array(attemptRecordSchema),
  /** The other data centre, while moving or once moved. */
  movedTo: identity.optional(),
  end: jobEndSchema.optional(),
  specification: jobSpecificationSchema,
});

/** One worker, as last reported to the instance that answers. */
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
  /** When its last report or answer arrived at that instance. */
  heardAtMs: z.number(),
  runningTasks: z.int(),
});

export type JobView = z.infer<typeof jobViewSchema>;
export type WorkerView = z.infer<typeof workerViewSchema>;

/** The view of a job's record, with the reason why it waits. */
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
