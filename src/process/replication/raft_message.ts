/**
 * What the members of one group say to each other.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import { IDENTITY_PATTERN, type InstanceId } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import { groupConfigurationSchema } from "./group_configuration.ts";
import { bytesSchema, logEntrySchema } from "./log_entry.ts";

const identity = z.string().regex(IDENTITY_PATTERN);
const count = z.int().min(0);
const bytes = bytesSchema;

const voteRequestFields = {
  term: count,
  lastIndex: count,
  lastTerm: count,
};

const raftMessageSchema = z.discriminatedUnion("kind", [
  /** Asks whether a vote would be given; changes nothing. */
  z.strictObject({ kind: z.literal("preVote"), ...voteRequestFields }),
  z.strictObject({
    kind: z.literal("vote"),
    ...voteRequestFields,
    /** Whether the leader itself asked for the election. */
    isHandOver: z.boolean(),
    /** Whether everyone who might vote said that there is no leader. */
    isLeaderless: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("voteReply"),
    term: count,
    isPreVote: z.boolean(),
    isGranted: z.boolean(),
    /** Whether only the promise to some earlier leader speaks against it. */
    isWilling: z.boolean(),
  }),
  /** Entries for a follower; a heartbeat when there are none. */
  z.strictObject({
    kind: z.literal("append"),
    term: count,
    previousIndex: count,
    previousTerm: count,
    entries: z.array(logEntrySchema),
    commitIndex: count,
    /** The leader's clock; comes back in the reply. */
    sentAtMs: z.number(),
    /** The newest stamp of the receiver's clock that the leader had. */
    stampMs: z.number(),
    /** Whether no other leader can exist as this is sent. */
    isLeaseHeld: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("appendReply"),
    term: count,
    isAccepted: z.boolean(),
    /** The last entry known to match, or where to try next. */
    index: count,
    sentAtMs: z.number(),
    stampMs: z.number(),
  }),
  z.strictObject({
    kind: z.literal("snapshotChunk"),
    term: count,
    index: count,
    indexTerm: count,
    configuration: groupConfigurationSchema,
    totalBytes: count,
    offsetBytes: count,
    data: bytes,
    sentAtMs: z.number(),
  }),
  z.strictObject({
    kind: z.literal("snapshotReply"),
    term: count,
    index: count,
    nextOffsetBytes: count,
    sentAtMs: z.number(),
    stampMs: z.number(),
  }),
  /** A member without a vote asks its leader, or anyone, for what is new. */
  z.strictObject({
    kind: z.literal("follow"),
    term: count,
    lastIndex: count,
    stampMs: z.number(),
    wantsVote: z.boolean(),
    isDurable: z.boolean(),
    /** Whether it holds nothing of any group. */
    isFresh: z.boolean(),
  }),
  /** Where the leader is, and what incarnation the asker must exceed. */
  z.strictObject({
    kind: z.literal("redirect"),
    leaderId: identity.optional(),
    lowerIncarnation: count,
  }),
  /** Tells a founder that holds nothing yet that its group exists. */
  z.strictObject({
    kind: z.literal("welcome"),
    configuration: groupConfigurationSchema,
  }),
  /** Asks whether every founder is there and holds nothing. */
  z.strictObject({
    kind: z.literal("formRequest"),
    formationId: identity,
    founderIds: z.array(identity),
  }),
  z.strictObject({ kind: z.literal("formPledge"), formationId: identity }),
  /** The leader gives up; the receiver starts an election at once. */
  z.strictObject({ kind: z.literal("handOver"), term: count }),
  z.strictObject({
    kind: z.literal("propose"),
    id: count,
    /** The term in which the receiver was thought to lead. */
    term: count,
    data: bytes,
  }),
  z.strictObject({
    kind: z.literal("proposeReply"),
    id: count,
    status: z.enum(["applied", "notAppended", "discarded", "unknown"]),
    data: bytes,
  }),
  z.strictObject({ kind: z.literal("read"), id: count }),
  z.strictObject({
    kind: z.literal("readReply"),
    id: count,
    /** What the reader must have applied; absent when it can't be told. */
    index: count.optional(),
  }),
]);

const envelopeSchema = z.strictObject({
  /** The sender's group; absent while it knows of none. */
  formationId: identity.optional(),
  fromIncarnation: count,
  /** For which incarnation it is meant; zero for any. */
  toIncarnation: count,
  message: raftMessageSchema,
});

/** A message between members. */
export type RaftMessage = z.infer<typeof raftMessageSchema>;

/** The message of one kind. */
export type RaftMessageOf<Kind extends RaftMessage["kind"]> = Extract<
  RaftMessage,
  { kind: Kind }
>;

/** A message with the incarnations between which it passes. */
export type RaftEnvelope = z.infer<typeof envelopeSchema>;

/** The fields of each kind of message, in the order in which they travel. */
export const MESSAGE_FIELDS: Readonly<Record<string, readonly string[]>> =
  Object.fromEntries(
    raftMessageSchema.options.map((option) => [
      option.shape.kind.value,
      Object.keys(option.shape).filter((name) => name !== "kind"),
    ]),
  );

/** Who sent a message, and as which incarnation. */
export interface Sender {
  readonly id: InstanceId;
  readonly incarnation: number;
  /** Whether it holds nothing of any group. */
  readonly isGroupless: boolean;
}

/** Checks what came from a peer. */
export function decodeEnvelope(body: unknown): Result<RaftEnvelope> {
  const parsed = envelopeSchema.safeParse(body);
  if (parsed.success) {
    return Right(parsed.data);
  }
  return failure("malformed", { detail: z.prettifyError(parsed.error) });
}
