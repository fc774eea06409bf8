/**
 * Commands, replies and outcomes of the ledger of non-idempotent requests, with
 * their schemas. Commands are sent between instances and snapshots are stored,
 * so both have a format version.
 *
 * @module
 */

import * as z from "zod";

/** The version of the ledger's commands and snapshots. */
export const LEDGER_FORMAT_VERSION = 1;

const bytesSchema = z.instanceof(Uint8Array);

/** The recorded outcome of a request. */
export const recordedOutcomeSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("answered"),
    httpStatus: z.int(),
    contentType: z.string().optional(),
    body: bytesSchema,
  }),
  /** The request was answered; the body did not fit into the ledger. */
  z.strictObject({
    kind: z.literal("answeredUnkept"),
    httpStatus: z.int(),
    bodyBytes: z.int(),
  }),
  /** The request was sent, and its outcome is unknown. */
  z.strictObject({ kind: z.literal("unknown") }),
]);

const commonFields = {
  formatVersion: z.literal(LEDGER_FORMAT_VERSION),
  /** Identifies the request within the system. */
  key: z.string().max(512),
  /** Identifies one call that one run of an instance received. */
  claimant: z.string().max(512),
  atMs: z.number(),
};

/** A command to the ledger. */
export const ledgerCommandSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    ...commonFields,
    kind: z.literal("claim"),
    /** Digest of the content; a later claim of the key must have the same. */
    digest: z.string().max(128),
    expiresAtMs: z.number(),
  }),
  z.strictObject({
    ...commonFields,
    kind: z.literal("end"),
    outcome: recordedOutcomeSchema,
    expiresAtMs: z.number(),
  }),
  z.strictObject({ ...commonFields, kind: z.literal("release") }),
]);

/** The reply to a command or a lookup. */
export const ledgerReplySchema = z.discriminatedUnion("kind", [
  /** The claim was acquired: only this claimant may send the request. */
  z.strictObject({ kind: z.literal("granted") }),
  /** Another claimant holds the request, and no outcome is recorded. */
  z.strictObject({ kind: z.literal("held") }),
  z.strictObject({
    kind: z.literal("ended"),
    outcome: recordedOutcomeSchema,
  }),
  /** The key was claimed with other content. */
  z.strictObject({ kind: z.literal("reused") }),
  /** The key is new, and the ledger has reached its size limit. */
  z.strictObject({ kind: z.literal("full") }),
  /** The outcome was recorded, or the claim was released. */
  z.strictObject({ kind: z.literal("done") }),
  /** The claimant does not hold the request. */
  z.strictObject({ kind: z.literal("notHeld") }),
  /** There is no entry for the key. */
  z.strictObject({ kind: z.literal("absent") }),
]);

export type RecordedOutcome = z.infer<typeof recordedOutcomeSchema>;
export type LedgerCommand = z.infer<typeof ledgerCommandSchema>;
export type LedgerReply = z.infer<typeof ledgerReplySchema>;
export type ClaimCommand = Extract<LedgerCommand, { kind: "claim" }>;
export type EndCommand = Extract<LedgerCommand, { kind: "end" }>;
