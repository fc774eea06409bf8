/**
 * What instances tell each other regularly.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import { failure, type Result } from "../../base/mod.ts";

/** The shape of a heartbeat. */
export const heartbeatSchema = z.strictObject({
  /** Grows with each restart of the sender. */
  incarnation: z.int().min(1),
  /** Counts the heartbeats of one incarnation. */
  sequence: z.int().min(0),
  httpAddress: z.string().max(64),
  isLeaving: z.boolean(),
  /** The peers that the sender doesn't hear itself. */
  missing: z.array(z.string().max(128)).max(64),
});

/** A sign of life of one instance. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Checks what came over the network. */
export function decodeHeartbeat(body: unknown): Result<Heartbeat> {
  const checked = heartbeatSchema.safeParse(body);
  return checked.success ? Right(checked.data) : failure("malformed");
}
