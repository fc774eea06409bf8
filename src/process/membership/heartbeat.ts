/**
 * The heartbeat that instances send to each other periodically.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import { failure, type Result } from "../../base/mod.ts";

/** The schema of a heartbeat. */
export const heartbeatSchema = z.strictObject({
  /** Increases with each restart of the sender. */
  incarnation: z.int().min(1),
  /** Counts the heartbeats of the incarnation. */
  sequence: z.int().min(0),
  httpAddress: z.string().max(64),
  isLeaving: z.boolean(),
  /** The peers that are not reachable from the sender itself. */
  missing: z.array(z.string().max(128)).max(64),
});

/** A heartbeat of one instance. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Validates a heartbeat received over the network. */
export function decodeHeartbeat(body: unknown): Result<Heartbeat> {
  const checked = heartbeatSchema.safeParse(body);
  return checked.success ? Right(checked.data) : failure("malformed");
}
