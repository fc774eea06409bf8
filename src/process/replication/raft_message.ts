/**
 * Messages between the members of a group.
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
  /** Asks whether the receiver would grant its vote, without casting it. */
  z.strictObject({ kind: z.literal("preVote"), ...voteRequestFields }),
  z.strictObject({
    kind: z.literal("vote"),
    ...voteRequestFields,
    /** Whether the leader itself requested the election. */
    isHandOver: z.boolean(),
    /** Whether everyone who might vote reported that it knows of no leader. */
    isLeaderless: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("voteReply"),
    term: count,
    isPreVote: z.boolean(),
    isGranted: z.boolean(),
    /**
     * Whether the member would vote if no leader exists: it knows of none other
     * than the candidate, but may still withhold its vote for an earlier one.
     */
    isWilling: z.boolean(),
  }),
  /** Entries for a member, or a heartbeat if there are none. */
  z.strictObject({
    kind: z.literal("append"),
    term: count,
    previousIndex: count,
    previousTerm: count,
    entries: z.array(logEntrySchema),
    commitIndex: count,
    /** The leader's clock; echoed in the reply. */
    sentAtMs: z.number(),
    /** The newest timestamp of the receiver's clock that the leader has. */
    stampMs: z.number(),
    /**
     * Whether the leader, when sending, held its lease, so that no other leader
     * existed, and knew all committed entries.
     */
    isLeaseHeld: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal("appendReply"),
    term: count,
    isAccepted: z.boolean(),
    /**
     * If accepted, the last entry known to match; else the last that may match.
     */
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
  /** A learner requests new entries from its leader, or from anyone. */
  z.strictObject({
    kind: z.literal("follow"),
    term: count,
    lastIndex: count,
    stampMs: z.number(),
    wantsVote: z.boolean(),
    isDurable: z.boolean(),
    /** Whether the sender has no group state. */
    isFresh: z.boolean(),
  }),
  /** Names the leader, and the incarnation that the receiver must exceed. */
  z.strictObject({
    kind: z.literal("redirect"),
    leaderId: identity.optional(),
    lowerIncarnation: count,
  }),
  /** Tells a founder without group state that its group was formed. */
  z.strictObject({
    kind: z.literal("welcome"),
    configuration: groupConfigurationSchema,
  }),
  /** Asks a founder to confirm that it has no group state. */
  z.strictObject({
    kind: z.literal("formRequest"),
    formationId: identity,
    founderIds: z.array(identity),
  }),
  /** Confirms that the sender has no group state. */
  z.strictObject({ kind: z.literal("formPledge"), formationId: identity }),
  /** The leader steps down; the receiver starts an election at once. */
  z.strictObject({ kind: z.literal("handOver"), term: count }),
  z.strictObject({
    kind: z.literal("propose"),
    id: count,
    /** The term in which the sender believes that the receiver leads. */
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
    /**
     * The index that must be applied before the read; absent if the sender
     * holds no lease.
     */
    index: count.optional(),
  }),
]);

const envelopeSchema = z.strictObject({
  /** The sender's group; absent if it belongs to none. */
  formationId: identity.optional(),
  fromIncarnation: count,
  /** The incarnation that it is meant for; zero for any. */
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

/** A message with the incarnations of its sender and receiver. */
export type RaftEnvelope = z.infer<typeof envelopeSchema>;

/** The fields of each kind of message, in the order of their encoding. */
export const MESSAGE_FIELDS: Readonly<Record<string, readonly string[]>> =
  Object.fromEntries(
    raftMessageSchema.options.map((option) => [
      option.shape.kind.value,
      Object.keys(option.shape).filter((name) => name !== "kind"),
    ]),
  );

/** The sender of a message, and its incarnation. */
export interface Sender {
  readonly id: InstanceId;
  readonly incarnation: number;
  /** Whether it has no group state. */
  readonly isGroupless: boolean;
}

/** Validates a received envelope; `malformed` if it is none. */
export function validateEnvelope(body: unknown): Result<RaftEnvelope> {
  const parsed = envelopeSchema.safeParse(body);
  if (parsed.success) {
    return Right(parsed.data);
  }
  return failure("malformed", { detail: z.prettifyError(parsed.error) });
}
