/**
 * How a stand-in worker can be told to misbehave.
 *
 * @module
 */

import * as z from "zod";

/** What goes wrong on the worker. */
export const workerFaultsSchema = z.strictObject({
  failsEveryTask: z.boolean().default(false),
  /** How much later than usual each command is answered. */
  slowMs: z.int().min(0).default(0),
  /** Neither answers nor reports; its tasks run on under their leases. */
  isSilent: z.boolean().default(false),
  /** Reported sizes as a multiple of the declared ones. */
  sizeFactor: z.number().min(0).default(1),
  /** Run times as a multiple of what the command says. */
  runTimeFactor: z.number().min(0).default(1),
});

export type WorkerFaults = z.infer<typeof workerFaultsSchema>;

/** A worker that works. */
export const NO_FAULTS: WorkerFaults = workerFaultsSchema.parse({});
