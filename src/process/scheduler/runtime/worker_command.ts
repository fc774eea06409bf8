/**
 * Commands from the leader of a data centre to its workers, and the answers.
 *
 * Every time in a command is on the worker's own clock, which the leader knows
 * from the worker's last holdings. A command that arrives late is therefore
 * refused, however long it was delayed.
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
const workerTimeMs = z.number();

/** What lets a worker recognize and refuse an outdated command. */
export const commandFenceSchema = z.strictObject({
  protocolVersion: z.literal(WORKER_PROTOCOL_VERSION),
  /** The leader's term; one below the highest seen is refused. */
  term: z.int().min(0),
  /** The incarnation of the worker that the command is for. */
  incarnation: z.int().min(1),
  /** After this time of its own clock the worker refuses the command. */
  validUntilMs: workerTimeMs,
});

const attemptFields = {
  fence: commandFenceSchema,
  jobId: identity,
  attempt: z.int().min(1),
};

/** Until when the worker's tasks of one attempt may run. */
export const attemptLeaseSchema = z.strictObject({
  jobId: identity,
  attempt: z.int().min(1),
  leaseEndMs: workerTimeMs,
});

/** Names one attempt of one job. */
export const attemptReferenceSchema = z.strictObject({
  jobId: identity,
  attempt: z.int().min(1),
});

/** A command. */
export const workerCommandSchema = z.discriminatedUnion("kind", [
  /** Reserve capacity for the tasks until `reservationEndMs`. */
  z.strictObject({
    kind: z.literal("reserve"),
    ...attemptFields,
    taskIndexes: z.array(z.int().min(0)).min(1).max(64),
    resources: taskResourcesSchema,
    command: z.array(z.string()),
    reservationEndMs: workerTimeMs,
  }),
  /** Start the reserved tasks; they may run until `leaseEndMs`. */
  z.strictObject({
    kind: z.literal("start"),
    ...attemptFields,
    leaseEndMs: workerTimeMs,
  }),
  /** Extend the leases of some attempts, and forget ended attempts. */
  z.strictObject({
    kind: z.literal("renew"),
    fence: commandFenceSchema,
    leases: z.array(attemptLeaseSchema).max(4096),
    forget: z.array(attemptReferenceSchema).max(4096),
  }),
  /** Drop reservations and stop tasks of this and earlier attempts now. */
  z.strictObject({ kind: z.literal("release"), ...attemptFields }),
  /** Write a checkpoint and go on running. */
  z.strictObject({ kind: z.literal("checkpoint"), ...attemptFields }),
  /** Limit the tasks to a fraction of their processors. */
  z.strictObject({
    kind: z.literal("throttle"),
    ...attemptFields,
    coresFraction: z.number().min(0).max(1),
  }),
  /** Stop the tasks, after a checkpoint if one is wanted and done in time. */
  z.strictObject({
    kind: z.literal("stop"),
    ...attemptFields,
    wantsCheckpoint: z.boolean(),
    checkpointDeadlineMs: workerTimeMs,
  }),
]);

/** Why a worker refused a command. */
export const WorkerRefusal = {
  staleTerm: "a higher term was seen",
  otherIncarnation: "the command is for another incarnation",
  late: "the command arrived after it had expired",
  releasedAttempt: "the attempt was released before",
  unknownAttempt: "the attempt is not reserved here",
  earlierAttemptRuns: "tasks of an earlier attempt of the job still run here",
  noRoom: "the worker has too little free capacity",
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
