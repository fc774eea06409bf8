/**
 * The faults that can be injected into a stand-in worker.
 *
 * @module
 */

import * as z from "zod";

/** The body of `POST /faults`. */
export const workerFaultsSchema = z.strictObject({
  failsEveryTask: z.boolean().default(false),
  /** Delay of each command's answer. */
  slowMs: z.int().min(0).default(0),
  /** Neither answers nor reports; tasks keep running under their leases. */
  isSilent: z.boolean().default(false),
  /** Ratio of the reported usage to the declared resources. */
  sizeFactor: z.number().min(0).default(1),
  /** Ratio of the run times to the durations in the commands. */
  runTimeFactor: z.number().min(0).default(1),
});

export type WorkerFaults = z.infer<typeof workerFaultsSchema>;

/** A worker without faults. */
export const NO_FAULTS: WorkerFaults = workerFaultsSchema.parse({});
