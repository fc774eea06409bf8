/**
 * Messages between instances about jobs and workers.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import { ERROR_ANSWERS, type ErrorKind } from "../../../base/error_kind.ts";
import { IDENTITY_PATTERN } from "../../../base/identity.ts";
import { failure, type Result } from "../../../base/sesame_error.ts";
import { jobSpecificationSchema } from "../core/job.ts";
import { jobViewSchema, workerViewSchema } from "./job_view.ts";
import { workerReportSchema } from "./worker_report.ts";

const identity = z.string().regex(IDENTITY_PATTERN);

const errorKinds = Object.keys(ERROR_ANSWERS) as [ErrorKind, ...ErrorKind[]];

/** A call to a data centre; every call may safely be repeated. */
export const schedulerCallSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("submit"),
    specification: jobSpecificationSchema,
    submittedAtMs: z.number(),
    transfers: z.int().min(0),
    attemptsUsed: z.int().min(0),
  }),
  z.strictObject({ kind: z.literal("cancel"), jobId: identity }),
  z.strictObject({ kind: z.literal("job"), jobId: identity }),
  z.strictObject({
    kind: z.literal("jobs"),
    /** Returns at most this many jobs, the newest. */
    limit: z.int().min(1).max(10_000),
  }),
  z.strictObject({ kind: z.literal("workers") }),
]);

/** The answer to a call. */
export const schedulerAnswerSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("job"),
    /** Whether this call changed the job; a query or repeated call doesn't. */
    isNew: z.boolean(),
    job: jobViewSchema,
  }),
  z.strictObject({ kind: z.literal("jobs"), jobs: z.array(jobViewSchema) }),
  z.strictObject({
    kind: z.literal("workers"),
    workers: z.array(workerViewSchema),
  }),
  z.strictObject({
    kind: z.literal("failed"),
    error: z.enum(errorKinds),
    detail: z.string(),
  }),
]);

/** A message on the scheduler's channel. */
export const schedulerMessageSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("workerReport"),
    report: workerReportSchema,
  }),
  z.strictObject({
    kind: z.literal("call"),
    callId: z.int(),
    /** Whether another instance forwarded it; a query isn't forwarded twice. */
    isPassedOn: z.boolean(),
    call: schedulerCallSchema,
  }),
  z.strictObject({
    kind: z.literal("answer"),
    callId: z.int(),
    answer: schedulerAnswerSchema,
  }),
]);

export type SchedulerCall = z.infer<typeof schedulerCallSchema>;
export type SchedulerAnswer = z.infer<typeof schedulerAnswerSchema>;
export type SchedulerMessage = z.infer<typeof schedulerMessageSchema>;

/** Decodes a message; `malformed` when its shape is wrong. */
export function decodeSchedulerMessage(
  body: unknown,
): Result<SchedulerMessage> {
  const parsed = schedulerMessageSchema.safeParse(body);
  return parsed.success
    ? Right(parsed.data)
    : failure("malformed", { detail: z.prettifyError(parsed.error) });
}
