/**
 * The specification of a job: a gang of identical tasks.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN } from "../../../base/identity.ts";

const identity = z.string().regex(IDENTITY_PATTERN);

/** Largest number of tasks in one gang. */
export const GANG_TASKS_LIMIT = 64;

/** The resources that one task takes on its worker. */
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
  /** Number of tasks of the gang; all of them run, or none. */
  tasks: z.int().min(1).max(GANG_TASKS_LIMIT),
  resources: taskResourcesSchema,
  /** Whether all tasks must run in one rack or on one worker. */
  adjacency: z.enum(["any", "rack", "worker"]).default("any"),
  /** The submitter's estimate; corrected by the run times of earlier jobs. */
  declaredRunMs: z.int().min(1),
  /** Data centres where it may run; empty for any. */
  dataCentres: z.array(identity).max(16).default([]),
  /** When the job is ended if it hasn't finished; absent for no deadline. */
  deadlineMs: z.int().optional(),
  /** Whether its tasks can be checkpointed and resumed elsewhere. */
  canCheckpoint: z.boolean().default(true),
  /** The command that the worker runs; the scheduler doesn't interpret it. */
  command: z.array(z.string().max(4096)).max(64).default([]),
});

export type TaskResources = z.infer<typeof taskResourcesSchema>;
export type JobSpecification = z.infer<typeof jobSpecificationSchema>;
