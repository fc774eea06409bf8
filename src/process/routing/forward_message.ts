/**
 * Messages about requests between instances of different data centres.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import { IDENTITY_PATTERN } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import { AttemptResult } from "./core/mod.ts";

const identity = z.string().regex(IDENTITY_PATTERN);
const bytes = z.instanceof(Uint8Array);

const forwardMessageSchema = z.discriminatedUnion("kind", [
  /** The sender's free slots; the receiver answers with a `loadEcho`. */
  z.strictObject({
    kind: z.literal("load"),
    sentAtMs: z.number(),
    freeSlots: z.record(identity, z.int().min(0)),
  }),
  z.strictObject({ kind: z.literal("loadEcho"), sentAtMs: z.number() }),
  /** A part of a packed call or of its packed result. */
  z.strictObject({
    kind: z.literal("part"),
    flow: z.enum(["call", "end"]),
    /** Incarnation of the instance that forwarded the call. */
    incarnation: z.int().min(0),
    forwardId: z.int().min(1),
    index: z.int().min(0),
    count: z.int().min(1).max(1_024),
    bytes,
  }),
]);

/** A call forwarded to another data centre. */
export const forwardedCallSchema = z.strictObject({
  formatVersion: z.literal(1),
  /** Time left to its deadline; the clocks of instances may differ. */
  timeoutMs: z.number(),
  record: z.strictObject({
    requestId: identity,
    service: identity,
    clientAccount: identity.optional(),
    requestClass: identity,
    isIdempotent: z.boolean(),
    path: z.string(),
    contentType: z.string().optional(),
    body: bytes,
    configurationVersion: z.int(),
  }),
});

/** The result of a forwarded call. */
export const forwardedEndSchema = z.strictObject({
  formatVersion: z.literal(1),
  result: z.enum(AttemptResult),
  answer: z.strictObject({
    httpStatus: z.int(),
    contentType: z.string().optional(),
    body: bytes,
  }).optional(),
});

export type ForwardMessage = z.infer<typeof forwardMessageSchema>;
export type ForwardPart = Extract<ForwardMessage, { kind: "part" }>;
export type ForwardedCall = z.infer<typeof forwardedCallSchema>;
export type ForwardedEnd = z.infer<typeof forwardedEndSchema>;

/** Validates a message from a peer; `malformed` when its shape is wrong. */
export function decodeForwardMessage(body: unknown): Result<ForwardMessage> {
  const parsed = forwardMessageSchema.safeParse(body);
  return parsed.success ? Right(parsed.data) : failure("malformed", {
    detail: "A message about forwarded requests has a wrong shape.",
  });
}
