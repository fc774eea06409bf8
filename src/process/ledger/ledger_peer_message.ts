/**
 * What instances say to one another about the ledgers of their data centres.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import { ERROR_ANSWERS, type ErrorKind } from "../../base/error_kind.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import { ledgerCommandSchema, ledgerReplySchema } from "./ledger_record.ts";

const errorKind = z.string().refine(
  (kind): kind is ErrorKind => kind in ERROR_ANSWERS,
).transform((kind) => kind as ErrorKind);

const ledgerPeerMessageSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("ask"),
    /** Grows with every run of the asker, so that no run gets a reply to another's. */
    incarnation: z.int().min(0),
    askId: z.int(),
    /** How much time is left; clocks of instances may differ. */
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
    error: errorKind.optional(),
  }),
]);

/** One message on the ledgers' channel. */
export type LedgerPeerMessage = z.infer<typeof ledgerPeerMessageSchema>;

/** A command, or a question that changes nothing. */
export type LedgerQuestion = Extract<
  LedgerPeerMessage,
  { kind: "ask" }
>["question"];

/** Checks a message from a peer; `malformed` when it has another shape. */
export function decodeLedgerPeerMessage(
  body: unknown,
): Result<LedgerPeerMessage> {
  const parsed = ledgerPeerMessageSchema.safeParse(body);
  return parsed.success ? Right(parsed.data) : failure("malformed", {
    detail: "The ledger's message has a wrong shape.",
  });
}
