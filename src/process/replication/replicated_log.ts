/**
 * A replicated log of commands, which every member of a group applies in the
 * same order.
 *
 * Three kinds of group use it: the configuration group (the instances with a
 * disk, in all data centres), one group per data centre (all of its instances)
 * for jobs and for the ledger of non-idempotent requests, and the group of the
 * batch scheduler.
 *
 * @module
 */

import type { Stream } from "most";
import type { InstanceId } from "../../base/identity.ts";
import type { Result } from "../../base/sesame_error.ts";

/**
 * The state that a group replicates. `apply` must be deterministic: the command
 * carries any time or random value that it needs.
 */
export interface StateMachine<Command, Outcome> {
  /**
   * Applies the committed command at `index`, with the same result on every
   * member.
   */
  apply(command: Command, index: number): Outcome;
  /** Encodes the whole state, including its format version. */
  snapshot(): Uint8Array;
  /** Replaces the state with that of a snapshot. */
  restore(snapshot: Uint8Array): Result<void>;
}

/** The role of a group member. */
export const MemberRole = {
  /** Replicates the log without a vote. */
  learner: "learner",
  follower: "follower",
  candidate: "candidate",
  leader: "leader",
} as const;

/** One of the values of {@link MemberRole}. */
export type MemberRole = typeof MemberRole[keyof typeof MemberRole];

/** The state of a member's disk; times by the member's clock. */
export interface DiskStatus {
  /** When a fault suspended the member; undefined while it takes part. */
  readonly suspendedAtMs: number | undefined;
  /** When a sync last returned; undefined before the first. */
  readonly syncedAtMs: number | undefined;
  /** The free space when last read; undefined if it is unknown. */
  readonly freeBytes: number | undefined;
}

/** The status of a group member. */
export interface MemberStatus {
  readonly groupId: string;
  /** `learner` also once the member has stopped. */
  readonly role: MemberRole;
  /** The current Raft term. */
  readonly term: number;
  readonly leaderId: InstanceId | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  /**
   * When this leader's lease ends, by its own clock: no other leader can exist
   * before. Zero on members that don't lead, or that lead and don't know all
   * committed entries yet.
   */
  readonly leaseEndMs: number;
  /**
   * The latest time at which this copy was known to be current, by this
   * member's clock; 0 if never.
   */
  readonly currentAtMs: number;
  readonly voterIds: readonly InstanceId[];
  readonly learnerIds: readonly InstanceId[];
  /** Absent for a member without a disk. */
  readonly disk?: DiskStatus | undefined;
}

/** One member's access to its group's log. */
export interface ReplicatedLog<Command, Outcome> {
  /**
   * Commits a command and returns the outcome of applying it. Any member may
   * propose: it forwards the command to the leader. Fails with `unavailable` if
   * the command was certainly not committed, `outcomeUnknown` if it may still
   * be committed, and `tooLarge` if it exceeds the size limit.
   */
  propose(
    command: Command,
    options: { deadlineMs: number },
  ): Promise<Result<Outcome>>;
  /**
   * Resolves once this member has applied everything that was committed before
   * the call. Fails with `unavailable` if it hasn't by the deadline.
   */
  readBarrier(options: { deadlineMs: number }): Promise<Result<void>>;
  status(): MemberStatus;
  /** Emits the status when the role, term, leader or members change. */
  readonly statuses: Stream<MemberStatus>;
  /**
   * If this member leads, transfers leadership to a member that has caught up.
   * Resolves once another leader is known, or after a time limit.
   */
  handOver(): Promise<void>;
  close(): Promise<void>;
}
