/**
 * The Raft core of one member as a pure state machine: a step takes inputs and
 * the current time and returns effects. It implements pre-votes, leader leases,
 * snapshots, single-server membership changes and learners.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import { isForThisMember, markStateLost } from "./envelope_filter.ts";
import {
  handleHandOver,
  handlePreVote,
  handleVote,
  handleVoteReply,
  tickElection,
} from "./election.ts";
import { handleAppend, handleSnapshotChunk } from "./follower.ts";
import {
  handleFollow,
  handleRedirect,
  tickFollowing,
  trackMember,
} from "./following.ts";
import {
  handleFormPledge,
  handleFormRequest,
  handleWelcome,
  tickFormation,
} from "./formation.ts";
import { findVoter } from "./group_configuration.ts";
import {
  abdicate,
  advanceCommit,
  broadcast,
  handleProposal,
  handOver,
  tickLeader,
} from "./leader.ts";
import {
  handleAppendReply,
  handleSnapshotReply,
  sendHeartbeat,
  sendToMember,
} from "./leader_send.ts";
import { isLeaseHeld, leaseEndMs } from "./lease.ts";
import { addMember, reconcileMembers, removeMember } from "./membership.ts";
import type { RaftEffect, RaftInput } from "./raft_effect.ts";
import type { RaftEnvelope, RaftMessage, Sender } from "./raft_message.ts";
import {
  type RaftCoreOptions,
  type RaftInputOf,
  RaftState,
} from "./raft_state.ts";
import { becomeFollower } from "./role.ts";

/** The part of a core's state that others may read. */
export type RaftView = Pick<
  RaftState,
  | "role"
  | "votedFor"
  | "progress"
  | "leaderSinceMs"
  | "term"
  | "leaderId"
  | "commitIndex"
  | "configuration"
  | "incarnation"
  | "formationId"
  | "isFresh"
  | "log"
>;

/** The Raft core of one member. */
export class RaftCore {
  #state: RaftState;
  #lastStepMs: number;

  constructor(options: RaftCoreOptions) {
    const state = new RaftState(options);
    this.#state = state;
    this.#lastStepMs = options.nowMs;
    if (!state.isFresh) {
      becomeFollower(state, { term: state.term, leaderId: undefined });
      scheduleEarlyElection(state);
    }
  }

  get view(): RaftView {
    return this.#state;
  }

  /**
   * Processes inputs at the given time and returns the effects to execute, in
   * order. `nowMs` and `steadyMs` are those of {@link RaftState}.
   */
  step(
    inputs: readonly RaftInput[],
    nowMs: number,
    steadyMs = nowMs,
  ): RaftEffect[] {
    const state = this.#state;
    state.nowMs = nowMs;
    state.steadyMs = steadyMs;
    const pauseMs = Math.max(0, nowMs - this.#lastStepMs);
    state.attendedMs += Math.min(pauseMs, state.timing.heartbeatMs);
    this.#lastStepMs = nowMs;
    const lastIndex = state.log.lastIndex;
    for (const input of inputs) {
      this.#handleInput(input);
    }
    if (state.isLeader && state.log.lastIndex !== lastIndex) {
      broadcast(state);
    }
    return state.takeEffects();
  }

  /**
   * When this leader's lease ends; zero if it doesn't lead, or doesn't know all
   * committed entries yet.
   */
  leaseEndMs(nowMs: number): number {
    this.#state.nowMs = nowMs;
    return isLeaseHeld(this.#state) ? leaseEndMs(this.#state) : 0;
  }

  /**
   * Whether this member leads under a valid lease and knows all committed
   * entries.
   */
  isLeaseHeld(nowMs: number): boolean {
    this.#state.nowMs = nowMs;
    return isLeaseHeld(this.#state);
  }

  /** The latest time at which this member's copy was known to be current. */
  currentAtMs(nowMs: number): number {
    const state = this.#state;
    state.nowMs = nowMs;
    if (!state.isLeader) {
      return state.currentAtMs;
    }
    const isComplete = state.commitIndex >= state.termStartIndex;
    const ownMs = isComplete ? Math.min(nowMs, leaseEndMs(state)) : 0;
    return Math.max(state.currentAtMs, ownMs);
  }

  /**
   * Whether a command that is acknowledged now survives the loss of any one
   * member, if the group has several voters. It doesn't while only one voter has
   * its state, as after a restart of all members of which one has a disk.
   */
  isRedundant(): boolean {
    const state = this.#state;
    const configuredVoters = state.options.members.filter((member) =>
      member.isVoter
    );
    const removedCount = state.configuration.removedIds.length;
    const votersWithState = state.configuration.voters.filter((voter) =>
      !state.hasLostState(voter.id)
    );
    return votersWithState.length >=
      Math.min(2, configuredVoters.length - removedCount);
  }

  #handleInput(input: RaftInput): void {
    const state = this.#state;
    switch (input.kind) {
      case "tick":
        return tick(state);
      case "message":
        return this.#handleEnvelope(input);
      case "propose":
        return handleProposal(state, input);
      case "persisted":
        state.persistTracker.markPersisted(input.sequence);
        return advance(state);
      case "snapshotMade":
        return compact(state, input);
      case "handOver":
        return handOver(state);
      case "diskFailed":
        return abdicate(state);
      case "addMember":
        return void addMember(state, input.id);
      case "removeMember":
        return void removeMember(state, input.id);
      case "declareLost":
        return declareLost(state, input.id);
    }
  }

  #handleEnvelope(input: RaftInputOf<"message">): void {
    const { from, envelope } = input;
    const state = this.#state;
    if (isForThisMember(state, from, envelope)) {
      const sender = {
        id: from,
        incarnation: envelope.fromIncarnation,
        isGroupless: envelope.formationId === undefined,
      };
      adoptGroup(state, envelope);
      handleMessage(state, sender, envelope);
    }
  }
}

/**
 * Lets a restarted voter start an election early: if all members restarted, or
 * the leader did, there is no leader to wait for.
 */
function scheduleEarlyElection(state: RaftState): void {
  const { voters } = state.configuration;
  const { retryMinMs, retryMaxMs } = state.timing;
  if (state.isVoterNow()) {
    state.electionDueMs = state.nowMs +
      (voters.length === 1 ? 0 : state.randomMs(retryMinMs, retryMaxMs));
  }
}

function tick(state: RaftState): void {
  tickFormation(state);
  tickFollowing(state);
  tickElection(state);
  tickLeader(state);
  advance(state);
}

function advance(state: RaftState): void {
  advanceCommit(state);
  reconcileMembers(state);
}

function compact(
  state: RaftState,
  input: RaftInputOf<"snapshotMade">,
): void {
  if (input.index <= state.log.snapshot.index) {
    return;
  }
  const snapshot = {
    index: input.index,
    term: state.log.termAt(input.index) ?? 0,
    configuration: state.log.configurationAt(input.index),
    data: input.data,
  };
  state.log.compact(snapshot, state.timing.tailEntries);
  state.persistTracker.addSnapshot(snapshot);
}

function declareLost(state: RaftState, id: InstanceId): void {
  if (id === state.selfId) {
    return;
  }
  state.declaredLost.add(id);
  const voter = findVoter(state.configuration, id);
  if (voter !== undefined) {
    markStateLost(state, id, voter.incarnation);
  }
}

/** A member without group state joins the first group that sends it its log. */
function adoptGroup(state: RaftState, envelope: RaftEnvelope): void {
  const { kind } = envelope.message;
  const carriesLog = kind === "append" || kind === "snapshotChunk";
  if (state.isFresh && carriesLog) {
    state.formationId = envelope.formationId;
  }
}

function handleMessage(
  state: RaftState,
  from: Sender,
  envelope: RaftEnvelope,
): void {
  const { message } = envelope;
  switch (message.kind) {
    case "preVote":
      handlePreVote(state, from, message);
      return notifyRemovedVoter(state, from);
    case "vote":
      return handleVote(state, from, message);
    case "voteReply":
      return handleVoteReply(state, from, message);
    case "append":
      return handleAppend(state, from, message);
    case "snapshotChunk":
      return handleSnapshotChunk(state, from, message);
    case "appendReply":
    case "snapshotReply":
      return handleReply(state, from, message);
    case "follow":
      adoptTerm(state, message.term);
      return handleFollow(state, from, message);
    case "redirect":
      return handleRedirect(state, from, message);
    case "welcome":
      return handleWelcome(state, envelope.formationId, message);
    case "formRequest":
      return handleFormRequest(state, from, message);
    case "formPledge":
      return handleFormPledge(state, from, message);
    case "handOver":
      return handleHandOver(state, message);
    case "propose":
    case "proposeReply":
    case "read":
    case "readReply":
      // LeaderCalls handles these before they get here.
      return;
  }
}

function adoptTerm(state: RaftState, term: number): void {
  if (term > state.term) {
    becomeFollower(state, { term, leaderId: undefined });
  }
}

function handleReply(
  state: RaftState,
  from: Sender,
  message: Extract<RaftMessage, { kind: "appendReply" | "snapshotReply" }>,
): void {
  adoptTerm(state, message.term);
  const progress = state.progress.get(from.id);
  const isCurrent = state.isLeader && message.term === state.term &&
    progress?.incarnation === from.incarnation;
  if (!isCurrent) {
    return;
  }
  if (message.kind === "appendReply") {
    handleAppendReply(state, progress, message);
  } else {
    handleSnapshotReply(state, progress, message);
  }
  progress.recordRound(state.log.lastIndex, state.nowMs);
  advance(state);
  if (state.isLeader) {
    sendToMember(state, progress);
  }
}

/**
 * Informs a voter that was removed: if it missed the removal, it would campaign
 * forever.
 */
function notifyRemovedVoter(state: RaftState, from: Sender): void {
  const isRemoved = state.isLeader &&
    findVoter(state.configuration, from.id) === undefined;
  if (isRemoved) {
    const progress = trackMember(state, from);
    if (progress !== undefined) {
      sendHeartbeat(state, progress);
    }
  }
}
