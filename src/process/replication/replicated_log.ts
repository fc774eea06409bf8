/**
 * What replication offers to the parts that keep state with it: a log of
 * commands, applied in the same order by every member.
 *
 * Two kinds of group use it: the configuration group (the instances with a
 * disk, over all data centres) and one group in each data centre (all of its
 * instances) for jobs and for the ledger of non-idempotent requests.
 *
 * @module
 */

import type { Stream } from "most";
import type { InstanceId } from "../../base/identity.ts";
import type { Result } from "../../base/sesame_error.ts";

/**
 * The state that a group replicates. `apply` must be deterministic: time and
 * randomness travel inside the command.
 */
export interface StateMachine<Command, Outcome> {
  /** Applies the committed command at `index`; the same on every member. */
  apply(command: Command, index: number): Outcome;
  /** A self-contained copy of the state, with its format version inside. */
  snapshot(): Uint8Array;
  /** Replaces the state by that of a snapshot. */
  restore(snapshot: Uint8Array): Result<void>;
}

/** What a member is to its group at a moment. */
export const MemberRole = {
  /** Follows, without a vote, until it has caught up. */
  learner: "learner",
  follower: "follower",
  candidate: "candidate",
  leader: "leader",
} as const;

/** One of the values of {@link MemberRole}. */
export type MemberRole = typeof MemberRole[keyof typeof MemberRole];

/** Where a member stands. */
export interface MemberStatus {
  readonly groupId: string;
  readonly role: MemberRole;
  /** The term of the group's current election period. */
  readonly term: number;
  readonly leaderId: InstanceId | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  /**
   * Till when this leader may act alone, by its own clock: no other leader
   * can exist before. Zero on members that don't lead.
   */
  readonly leaseEndMs: number;
  /** When this copy was last known to be current, own clock; 0 for never. */
  readonly currentAtMs: number;
  readonly voterIds: readonly InstanceId[];
  readonly learnerIds: readonly InstanceId[];
}

/** One member's hold on its group's log. */
export interface ReplicatedLog<Command, Outcome> {
  /**
   * Commits a command and gives what applying it gave, from any member: it is
   * passed on to the leader. `unavailable` means not committed for certain;
   * `outcomeUnknown` that it may still be committed, `tooLarge` that it never
   * can be.
   */
  propose(
    command: Command,
    options: { deadlineMs: number },
  ): Promise<Result<Outcome>>;
  /** Returns once this member has applied all that was committed before. */
  readBarrier(options: { deadlineMs: number }): Promise<Result<void>>;
  status(): MemberStatus;
  /** Changes of role, term, leader and members. */
  readonly statuses: Stream<MemberStatus>;
  /**
   * Gives up leadership to a caught-up member, if this member leads, and
   * returns once that one is known to lead, or after a while without one.
   */
  handOver(): Promise<void>;
  close(): Promise<void>;
}
