/**
 * Messages about slots between the instances of a data centre.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import { IDENTITY_PATTERN } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";

const identity = z.string().regex(IDENTITY_PATTERN);
const slotCounts = z.array(z.tuple([identity, z.int().min(0)])).max(1_000);

const slotMessageSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("report"),
    service: identity,
    demand: z.int().min(0),
    grantId: z.int().min(0),
    holds: slotCounts,
  }),
  z.strictObject({
    kind: z.literal("grant"),
    service: identity,
    grantId: z.int().min(0),
    slots: slotCounts,
  }),
]);

/** One message about the slots of one service. */
export type SlotMessage = z.infer<typeof slotMessageSchema>;

/** Validates a message from a peer; `malformed` when its shape is wrong. */
export function decodeSlotMessage(body: unknown): Result<SlotMessage> {
  const parsed = slotMessageSchema.safeParse(body);
  return parsed.success ? Right(parsed.data) : failure("malformed", {
    detail: "A message about slots has a wrong shape.",
  });
}
