/**
 * The report that a worker sends, about once a second, to any instance of its
 * data centre.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../../base/identity.ts";
import { isSocketAddress } from "../../../base/socket_address.ts";

const identity = z.string().regex(IDENTITY_PATTERN);
const attemptNumber = z.int().min(1);

/** The version of the worker protocol. */
export const WORKER_PROTOCOL_VERSION = 1;

/** The IP address and port at which a worker listens. */
export const workerAddressSchema = z.string().refine(isSocketAddress);

/** One task that a worker holds. */
export const heldTaskSchema = z.strictObject({
  jobId: identity,
  attempt: attemptNumber,
  taskIndex: z.int().min(0),
  /** An ended task is listed until the leader says to forget it. */
  state: z.enum(["reserved", "running", "ended"]),
  outcome: z.enum(["succeeded", "failed", "checkpointed", "stopped", "lost"])
    .optional(),
});

/** The measured resource usage of one task. */
export const heldTaskUsageSchema = z.strictObject({
  jobId: identity,
  attempt: attemptNumber,
  taskIndex: z.int().min(0),
  cores: z.number().min(0),
  memoryBytes: z.int().min(0),
  accelerators: z.number().min(0),
  /** The age of the last finished checkpoint; absent when there is none. */
  checkpointAgeMs: z.number().min(0).optional(),
});

/** The tasks that a worker holds at a time of its own clock. */
export const workerHoldingsSchema = z.strictObject({
  workerId: identity,
  /** Increases with every start of the worker's process. */
  incarnation: z.int().min(1),
  /** The worker's own clock; higher in each message of an incarnation. */
  workerClockMs: z.number().min(0),
  /** The highest term of a command whose fence the worker accepted. */
  highestTerm: z.int().min(0),
  isLeaving: z.boolean(),
  tasks: z.array(heldTaskSchema).max(4096),
});

/** A worker's report. */
export const workerReportSchema = workerHoldingsSchema.extend({
  protocolVersion: z.literal(WORKER_PROTOCOL_VERSION),
  address: workerAddressSchema,
  rack: identity,
  cores: z.number().min(0).max(4096),
  memoryBytes: z.int().min(0),
  accelerators: z.int().min(0).max(64),
  usages: z.array(heldTaskUsageSchema).max(4096).default([]),
});

export type HeldTask = z.infer<typeof heldTaskSchema>;
export type HeldTaskUsage = z.infer<typeof heldTaskUsageSchema>;
export type WorkerHoldings = z.infer<typeof workerHoldingsSchema>;
export type WorkerReport = z.infer<typeof workerReportSchema>;
