/**
 * What goes into the core of a member and what comes out of it.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import type { HardState, LogEntry, LogSnapshot } from "./log_entry.ts";
import type { RaftEnvelope, RaftMessage } from "./raft_message.ts";

/** One member of a group as the settings name it. */
export interface GroupMember {
  readonly id: InstanceId;
  /** Whether it is to vote; the others follow for good. */
  readonly isVoter: boolean;
  /** Whether it keeps its log on a disk. */
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
  /** A command for the leader; see {@link ProposalTaken}. */
  | {
    readonly kind: "propose";
    readonly token: number;
    readonly data: Uint8Array;
  }
  /** Everything up to this persist effect is synced. */
  | { readonly kind: "persisted"; readonly sequence: number }
  /** The state machine's copy of itself after the entry at `index`. */
  | {
    readonly kind: "snapshotMade";
    readonly index: number;
    readonly data: Uint8Array;
  }
  | { readonly kind: "handOver" }
  | { readonly kind: "addMember"; readonly id: InstanceId }
  | { readonly kind: "removeMember"; readonly id: InstanceId }
  /** An operator vouches that this member's state is gone for good. */
  | { readonly kind: "declareLost"; readonly id: InstanceId };

/** An effect that the runtime must carry out, in order. */
export type RaftEffect =
  | SendEffect
  | PersistEffect
  | RestoreEffect
  | CommitEffect
  | ProposalTaken
  | ProposalRefused
  | EventEffect;

/** A message to send once the persist effect `afterSequence` is synced. */
export interface SendEffect {
  readonly kind: "send";
  readonly to: InstanceId;
  readonly envelope: RaftEnvelope;
  readonly afterSequence: number;
}

/** State to make durable; effects of one kind are carried out in order. */
export interface PersistEffect {
  readonly kind: "persist";
  /** Counts persist effects, from 1. */
  readonly sequence: number;
  readonly hardState: HardState | undefined;
  readonly snapshot: LogSnapshot | undefined;
  /** Whether the snapshot makes all earlier entries void. */
  readonly replacesEntries: boolean;
  /** An entry replaces one of its index and all after that. */
  readonly entries: readonly LogEntry[];
}

/** The state machine must become that of the snapshot. */
export interface RestoreEffect {
  readonly kind: "restore";
  readonly snapshot: LogSnapshot;
}

/** Entries to apply, in order and without gaps. */
export interface CommitEffect {
  readonly kind: "commit";
  readonly entries: readonly LogEntry[];
}

/** A proposal stands in the log of this leader. */
export interface ProposalTaken {
  readonly kind: "proposalTaken";
  readonly token: number;
  readonly index: number;
  readonly term: number;
}

/** A proposal was not put into the log. */
export interface ProposalRefused {
  readonly kind: "proposalRefused";
  readonly token: number;
  readonly reason: "notLeader" | "overloaded";
}

/** Something for the log of events. */
export interface EventEffect {
  readonly kind: "event";
  readonly name: RaftEventName;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** The events of the core. */
export type RaftEventName =
  | "leadershipGained"
  | "leadershipLost"
  | "groupFormed"
  | "groupRecovered"
  | "membersChanged"
  | "durabilityWaived"
  | "durabilityRestored"
  | "voterForgotten"
  | "snapshotInstalled"
  | "foreignGroupRefused";

/** A message of the core, before it is addressed. */
export interface OutgoingMessage {
  readonly to: InstanceId;
  readonly message: RaftMessage;
}
