/**
 * What a replication member is opened with.
 *
 * @module
 */

import type { Clock } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import type { InstanceId } from "../../base/identity.ts";
import type { RandomSource } from "../../base/random_source.ts";
import type { Storage } from "../../base/storage.ts";
import type { PeerNetwork } from "../../connection/peer_network.ts";
import type { GroupMember } from "./raft_effect.ts";
import type { RaftMutation } from "./raft_mutation.ts";
import type { StateMachine } from "./replicated_log.ts";
import type { ReplicationTiming } from "./replication_timing.ts";

/** Options of {@link ReplicationMember.open}. */
export interface ReplicationMemberOptions<Command, Outcome> {
  /** The group's name, the same on every member. */
  readonly groupId: string;
  /** Every known member, this one included; it may grow. */
  readonly members: readonly GroupMember[];
  /**
   * The members that form the group, the same everywhere; all voters if absent.
   */
  readonly founderIds?: readonly InstanceId[];
  /**
   * Members become voters automatically up to this number of voters; no limit
   * if absent.
   */
  readonly wantedVoters?: number;
  /**
   * Called with members that the log or other members name. One that isn't among
   * `members` can't be reached before it is added there and to the network.
   */
  readonly onMemberDiscovered?: (id: InstanceId) => void;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly machine: StateMachine<Command, Outcome>;
  /** The data folder; absent for a member without a disk. */
  readonly storage?: Storage | undefined;
  readonly events?: EventLog;
  readonly timing?: Partial<ReplicationTiming>;
  /** Bytes per second that catching up a peer may take; unlimited if absent. */
  readonly catchUpBytesPerSecond?: (peer: InstanceId) => number;
  /** @internal */
  readonly mutations?: ReadonlySet<RaftMutation>;
}

/** A change of a group's voters. */
export type MemberChange =
  | { readonly kind: "add"; readonly id: InstanceId }
  | { readonly kind: "remove"; readonly id: InstanceId };
