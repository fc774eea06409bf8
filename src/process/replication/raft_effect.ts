/**
 * Inputs and effects of a member's Raft core.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import type { HardState, LogEntry, LogSnapshot } from "./log_entry.ts";
import type { RaftEnvelope, RaftMessage } from "./raft_message.ts";

/** One member of a group, as configured. */
export interface GroupMember {
  readonly id: InstanceId;
  /** Whether it may vote; other members stay learners. */
  readonly isVoter: boolean;
  /** Whether it stores its log on a disk. */
  readonly isDurable: boolean;
}

/** An input of the core. */
export type RaftInput =
  | { readonly kind: "tick" }
  | {
    readonly kind: "message";
    readonly from: InstanceId;
    readonly envelope: RaftEnvelope;
  }
  /** Answered by {@link ProposalAppended} or {@link ProposalRejected}. */
  | {
    readonly kind: "propose";
    readonly token: number;
    readonly data: Uint8Array;
  }
  /** Everything up to this persist effect is synced. */
  | { readonly kind: "persisted"; readonly sequence: number }
  /** A snapshot of the state machine after the entry at `index`. */
  | {
    readonly kind: "snapshotMade";
    readonly index: number;
    readonly data: Uint8Array;
  }
  | { readonly kind: "handOver" }
  /** The disk takes no more writes; the core is dropped after this step. */
  | { readonly kind: "diskFailed" }
  | { readonly kind: "addMember"; readonly id: InstanceId }
  | { readonly kind: "removeMember"; readonly id: InstanceId }
  /** An operator declares that the member's state is lost for good. */
  | { readonly kind: "declareLost"; readonly id: InstanceId };

/** An effect that the runtime must carry out, in order. */
export type RaftEffect =
  | SendEffect
  | PersistEffect
  | RestoreEffect
  | CommitEffect
  | ProposalAppended
  | ProposalRejected
  | MemberDiscovered
  | EventEffect;

/** A message to send once the persist effect `afterSequence` is synced. */
export interface SendEffect {
  readonly kind: "send";
  readonly to: InstanceId;
  readonly envelope: RaftEnvelope;
  readonly afterSequence: number;
}

/** State to make durable, in the order of `sequence`. */
export interface PersistEffect {
  readonly kind: "persist";
  /** Counts persist effects, from 1. */
  readonly sequence: number;
  readonly hardState: HardState | undefined;
  readonly snapshot: LogSnapshot | undefined;
  /** Whether the snapshot replaces all entries stored before. */
  readonly replacesEntries: boolean;
  /** Each entry replaces the stored one at its index and all after it. */
  readonly entries: readonly LogEntry[];
}

/** Replaces the state machine with that of a snapshot. */
export interface RestoreEffect {
  readonly kind: "restore";
  readonly snapshot: LogSnapshot;
}

/** Committed entries to apply, in order and without gaps. */
export interface CommitEffect {
  readonly kind: "commit";
  readonly entries: readonly LogEntry[];
}

/** A proposal was appended to this leader's log. */
export interface ProposalAppended {
  readonly kind: "proposalAppended";
  readonly token: number;
  readonly index: number;
  readonly term: number;
}

/** A proposal was not appended to the log. */
export interface ProposalRejected {
  readonly kind: "proposalRejected";
  readonly token: number;
  readonly reason: "notLeader" | "overloaded";
}

/** The log or another member named a member, which may be unknown. */
export interface MemberDiscovered {
  readonly kind: "memberDiscovered";
  readonly id: InstanceId;
}

/** An event to log. */
export interface EventEffect {
  readonly kind: "event";
  readonly name: RaftEventName;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** The events that the core logs. */
export type RaftEventName =
  | "leadershipGained"
  | "leadershipLost"
  | "groupFormed"
  | "groupRecovered"
  | "membersChanged"
  | "votersChanged"
  | "durabilityWaived"
  | "durabilityRestored"
  | "voterForgotten"
  | "snapshotInstalled"
  | "foreignGroupRefused";

/** A message of the core, before it gets its envelope. */
export interface OutgoingMessage {
  readonly to: InstanceId;
  readonly message: RaftMessage;
}
