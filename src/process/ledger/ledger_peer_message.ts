/**
 * Messages by which instances call the ledger of another data centre.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import { ERROR_ANSWERS, type ErrorKind } from "../../base/error_kind.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import { ledgerCommandSchema, ledgerReplySchema } from "./ledger_record.ts";

const errorKindSchema = z.string().refine(
  (kind): kind is ErrorKind => kind in ERROR_ANSWERS,
).transform((kind) => kind as ErrorKind);

const ledgerPeerMessageSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("ask"),
    /**
     * The sender's run. It is copied to the reply, so that a later run of the
     * sender ignores it.
     */
    incarnation: z.int().min(0),
    askId: z.int(),
    /** Time left; a deadline would depend on the clocks of both instances. */
    timeoutMs: z.number(),
    question: z.union([
      ledgerCommandSchema,
      z.strictObject({
        kind: z.literal("find"),
        key: z.string().max(512),
        digest: z.string().max(128),
      }),
    ]),
  }),
  z.strictObject({
    kind: z.literal("reply"),
    incarnation: z.int().min(0),
    askId: z.int(),
    reply: ledgerReplySchema.optional(),
    error: errorKindSchema.optional(),
  }),
]);

/** A message on the channel `ledger`. */
export type LedgerPeerMessage = z.infer<typeof ledgerPeerMessageSchema>;

/** A command, or a lookup that changes nothing. */
export type LedgerCall = Extract<
  LedgerPeerMessage,
  { kind: "ask" }
>["question"];

/** Validates a message from a peer; fails with `malformed`. */
export function decodeLedgerPeerMessage(
  body: unknown,
): Result<LedgerPeerMessage> {
  const parsed = ledgerPeerMessageSchema.safeParse(body);
  return parsed.success ? Right(parsed.data) : failure("malformed", {
    detail: "The ledger message has an invalid format.",
  });
}
