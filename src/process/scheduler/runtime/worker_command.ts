/**
 * What the leader of a data centre tells its workers, and what they answer.
 *
 * Every deadline in a command is a moment of the worker's own clock: the
 * leader knows that clock from the worker's last holdings, so a command that
 * comes late is refused however long it was on its way.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../../base/identity.ts";
import { taskResourcesSchema } from "../core/job.ts";
import {
  WORKER_PROTOCOL_VERSION,
  workerHoldingsSchema,
} from "./worker_report.ts";

const identity = z.string().regex(IDENTITY_PATTERN);
const workerMoment = z.number();

/** What lets a worker tell a command of the past from one of the present. */
export const commandFenceSchema = z.strictObject({
  protocolVersion: z.literal(WORKER_PROTOCOL_VERSION),
  /** The leader's term; lower ones than the highest seen are refused. */
  term: z.int().min(0),
  /** The incarnation of the worker that is meant. */
  incarnation: z.int().min(1),
  /** After this moment of its own clock the worker refuses the command. */
  validUntilMs: workerMoment,
});

const attemptFields = {
  fence: commandFenceSchema,
  jobId: identity,
  attempt: z.int().min(1),
};

/** One attempt whose tasks here may go on running. */
export const attemptLeaseSchema = z.strictObject({
  jobId: identity,
  attempt: z.int().min(1),
  leaseEndMs: workerMoment,
});

/** Names one attempt of one job. */
export const attemptReferenceSchema = z.strictObject({
  jobId: identity,
  attempt: z.int().min(1),
});

/** A command. */
export const workerCommandSchema = z.discriminatedUnion("kind", [
  /** Keep room for the tasks until the reservation ends. */
  z.strictObject({
    kind: z.literal("reserve"),
    ...attemptFields,
    taskIndexes: z.array(z.int().min(0)).min(1).max(64),
    resources: taskResourcesSchema,
    command: z.array(z.string()),
    reservationEndMs: workerMoment,
  }),
  /** Run what was reserved, until the lease ends. */
  z.strictObject({
    kind: z.literal("start"),
    ...attemptFields,
    leaseEndMs: workerMoment,
  }),
  /** Longer leases for some attempts; what to forget of ended ones. */
  z.strictObject({
    kind: z.literal("renew"),
    fence: commandFenceSchema,
    leases: z.array(attemptLeaseSchema).max(4096),
    forget: z.array(attemptReferenceSchema).max(4096),
  }),
  /** Drop reservations and stop tasks of this and earlier attempts at once. */
  z.strictObject({ kind: z.literal("release"), ...attemptFields }),
  /** Write a checkpoint and go on running. */
  z.strictObject({ kind: z.literal("checkpoint"), ...attemptFields }),
  /** Run on a fraction of the processors. */
  z.strictObject({
    kind: z.literal("throttle"),
    ...attemptFields,
    coresFraction: z.number().min(0).max(1),
  }),
  /** Stop, after a checkpoint where one is wanted and done in time. */
  z.strictObject({
    kind: z.literal("stop"),
    ...attemptFields,
    wantsCheckpoint: z.boolean(),
    checkpointDeadlineMs: workerMoment,
  }),
]);

/** Why a worker refused a command. */
export const WorkerRefusal = {
  staleTerm: "a higher term was seen",
  otherIncarnation: "the command is for another incarnation",
  late: "the command came after its validity",
  releasedAttempt: "the attempt was released before",
  unknownAttempt: "the attempt is not reserved here",
  earlierAttemptRuns: "tasks of an earlier attempt of the job still run here",
  noRoom: "the worker has no room",
  leaving: "the worker is leaving",
} as const;

/** One of the keys of {@link WorkerRefusal}. */
export type WorkerRefusal = keyof typeof WorkerRefusal;

/** The answer to a command: what the worker holds after it. */
export const workerAnswerSchema = z.strictObject({
  /** Absent when the command was carried out. */
  refusal: z.enum([
    "staleTerm",
    "otherIncarnation",
    "late",
    "releasedAttempt",
    "unknownAttempt",
    "earlierAttemptRuns",
    "noRoom",
    "leaving",
  ]).optional(),
  holdings: workerHoldingsSchema,
});

export type CommandFence = z.infer<typeof commandFenceSchema>;
export type AttemptLease = z.infer<typeof attemptLeaseSchema>;
export type AttemptReference = z.infer<typeof attemptReferenceSchema>;
export type WorkerCommand = z.infer<typeof workerCommandSchema>;
export type WorkerAnswer = z.infer<typeof workerAnswerSchema>;
