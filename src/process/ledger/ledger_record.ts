/**
 * The records of the ledger of non-idempotent requests, with their
 * validators. They travel between instances and lie in snapshots, so each
 * carries its format version.
 *
 * @module
 */

import * as z from "zod";

/** The version of the ledger's commands and snapshots. */
export const LEDGER_FORMAT_VERSION = 1;

const bytes = z.instanceof(Uint8Array);

/** How a request ended, as far as it is remembered. */
export const recordedOutcomeSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("answered"),
    httpStatus: z.int(),
    contentType: z.string().optional(),
    body: bytes,
  }),
  /** It was answered; the answer was too large to be kept. */
  z.strictObject({
    kind: z.literal("answeredUnkept"),
    httpStatus: z.int(),
    bodyBytes: z.int(),
  }),
  /** It was sent and nobody knows how it ended. */
  z.strictObject({ kind: z.literal("unknown") }),
]);

const common = {
  formatVersion: z.literal(LEDGER_FORMAT_VERSION),
  /** The request's name within the system. */
  key: z.string().max(512),
  /** Who claims: one call of a caller at one run of one instance. */
  claimant: z.string().max(512),
  atMs: z.number(),
};

/** A command to the ledger. */
export const ledgerCommandSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    ...common,
    kind: z.literal("claim"),
    /** Tells whether a later claim has the same content. */
    digest: z.string().max(128),
    expiresAtMs: z.number(),
  }),
  z.strictObject({
    ...common,
    kind: z.literal("end"),
    outcome: recordedOutcomeSchema,
    expiresAtMs: z.number(),
  }),
  z.strictObject({ ...common, kind: z.literal("release") }),
]);

/** What the ledger says to a command. */
export const ledgerReplySchema = z.discriminatedUnion("kind", [
  /** Only this claimant may send the request. */
  z.strictObject({ kind: z.literal("granted") }),
  /** Another claimant has it, and hasn't said how it ended. */
  z.strictObject({ kind: z.literal("held") }),
  z.strictObject({
    kind: z.literal("ended"),
    outcome: recordedOutcomeSchema,
  }),
  /** The same name was used for other content. */
  z.strictObject({ kind: z.literal("reused") }),
  /** The name is new, and there is no room to remember it. */
  z.strictObject({ kind: z.literal("full") }),
  /** The end was recorded, or the claim given up. */
  z.strictObject({ kind: z.literal("done") }),
  /** The claimant doesn't hold the request. */
  z.strictObject({ kind: z.literal("notHeld") }),
  /** Nobody has claimed the name. */
  z.strictObject({ kind: z.literal("absent") }),
]);

export type RecordedOutcome = z.infer<typeof recordedOutcomeSchema>;
export type LedgerCommand = z.infer<typeof ledgerCommandSchema>;
export type LedgerReply = z.infer<typeof ledgerReplySchema>;
export type ClaimCommand = Extract<LedgerCommand, { kind: "claim" }>;
export type EndCommand = Extract<LedgerCommand, { kind: "end" }>;
