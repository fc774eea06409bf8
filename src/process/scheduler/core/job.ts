/**
 * What a client account submits: a gang of like tasks.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../../base/identity.ts";

const identity = z.string().regex(IDENTITY_PATTERN);

/** The most tasks that one gang may have. */
export const GANG_TASKS_LIMIT = 64;

/** What one task takes on its worker. */
export const taskResourcesSchema = z.strictObject({
  cores: z.number().min(0).max(4096),
  memoryBytes: z.int().min(0),
  accelerators: z.int().min(0).max(64),
});

/** A job as submitted. */
export const jobSpecificationSchema = z.strictObject({
  jobId: identity,
  clientAccount: identity,
  jobClass: identity,
  /** Tasks of the gang; all run or none. */
  tasks: z.int().min(1).max(GANG_TASKS_LIMIT),
  resources: taskResourcesSchema,
  /** How close the tasks must lie. */
  adjacency: z.enum(["any", "rack", "worker"]).default("any"),
  /** The submitter's guess; never trusted. */
  declaredRunMs: z.int().min(1),
  /** Data centres where it may run; any when empty. */
  dataCentres: z.array(identity).max(16).default([]),
  /** After this moment the job is of no use; absent for no limit. */
  deadlineMs: z.int().optional(),
  /** Whether its tasks can be checkpointed and resumed elsewhere. */
  canCheckpoint: z.boolean().default(true),
  /** What the worker is to run; passed on unread. */
  command: z.array(z.string().max(4096)).max(64).default([]),
});

export type TaskResources = z.infer<typeof taskResourcesSchema>;
export type JobSpecification = z.infer<typeof jobSpecificationSchema>;
