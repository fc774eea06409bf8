/**
 * The consensus of one member as a pure state machine: inputs go in with
 * their moment, effects come out. Raft with pre-votes, leader leases,
 * snapshots, single-server membership changes and members without a vote.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import { isForThisMember, noteForgotten } from "./envelope_filter.ts";
import {
  handleHandOver,
  handlePreVote,
  handleVote,
  handleVoteReply,
  tickElection,
} from "./election.ts";
import { handleAppend, handleSnapshotChunk } from "./follower.ts";
import {
  attend,
  handleFollow,
  handleRedirect,
  tickFollowing,
} from "./following.ts";
import {
  handleFormPledge,
  handleFormRequest,
  handleWelcome,
  tickFormation,
} from "./formation.ts";
import { findVoter } from "./group_configuration.ts";
import {
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

/** What others may know of a core. */
export type RaftView = Pick<
  RaftState,
  | "role"
  | "progress"
  | "leadsSinceMs"
  | "term"
  | "leaderId"
  | "commitIndex"
  | "configuration"
  | "incarnation"
  | "formationId"
  | "isFresh"
  | "log"
>;

/** One member's consensus. */
export class RaftCore {
  #state: RaftState;

  constructor(options: RaftCoreOptions) {
    const state = new RaftState(options);
    this.#state = state;
    if (!state.isFresh) {
      becomeFollower(state, { term: state.term, leaderId: undefined });
      askSoon(state);
    }
  }

  get view(): RaftView {
    return this.#state;
  }

  /** Takes inputs in at a moment and gives what must be done, in order. */
  step(inputs: readonly RaftInput[], nowMs: number): RaftEffect[] {
    const state = this.#state;
    state.nowMs = nowMs;
    const lastIndex = state.log.lastIndex;
    for (const input of inputs) {
      this.#take(input);
    }
    if (state.isLeader && state.log.lastIndex !== lastIndex) {
      broadcast(state);
    }
    return state.takeEffects();
  }

  /** Till when this leader may act alone; zero when it doesn't lead. */
  leaseEndMs(nowMs: number): number {
    this.#state.nowMs = nowMs;
    return leaseEndMs(this.#state);
  }

  /** Whether this member leads for certain at this moment. */
  isLeaseHeld(nowMs: number): boolean {
    this.#state.nowMs = nowMs;
    return isLeaseHeld(this.#state);
  }

  /** When this member's copy was last known to be current. */
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
   * Whether a command that is acknowledged now outlasts the loss of any one
   * member. After a restart of all members it waits for a second one.
   */
  isRedundant(): boolean {
    const state = this.#state;
    const wanted = state.options.members.filter((member) => member.isVoter);
    const removed = state.configuration.removedIds.length;
    const alive = state.configuration.voters.filter((voter) =>
      !state.isForgotten(voter.id)
    );
    return alive.length >= Math.min(2, wanted.length - removed);
  }

  #take(input: RaftInput): void {
    const state = this.#state;
    switch (input.kind) {
      case "tick":
        return tick(state);
      case "message":
        return this.#takeMessage(input);
      case "propose":
        return handleProposal(state, input);
      case "persisted":
        state.persists.markPersisted(input.sequence);
        return advance(state);
      case "snapshotMade":
        return compact(state, input);
      case "handOver":
        return handOver(state);
      case "addMember":
        return void addMember(state, input.id);
      case "removeMember":
        return void removeMember(state, input.id);
      case "declareLost":
        return declareLost(state, input.id);
    }
  }

  #takeMessage(input: RaftInputOf<"message">): void {
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
 * A voter that restarts asks soon whether there is a leader: if all of them
 * restarted, or the leader did, there is none, and nothing to wait for.
 */
function askSoon(state: RaftState): void {
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
  state.persists.addSnapshot(snapshot);
}

function declareLost(state: RaftState, id: InstanceId): void {
  if (id === state.selfId) {
    return;
  }
  state.declaredLost.add(id);
  const voter = findVoter(state.configuration, id);
  if (voter !== undefined) {
    noteForgotten(state, id, voter.incarnation);
  }
}

/** A member that holds nothing belongs to the first group that serves it. */
function adoptGroup(state: RaftState, envelope: RaftEnvelope): void {
  const { kind } = envelope.message;
  const isServed = kind === "append" || kind === "snapshotChunk";
  if (state.isFresh && isServed) {
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
      return tellRemoved(state, from);
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
      takeTerm(state, message.term);
      return handleFollow(state, from, message);
    case "redirect":
      return handleRedirect(state, message);
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
      // Dealt with before they get here.
      return;
  }
}

function takeTerm(state: RaftState, term: number): void {
  if (term > state.term) {
    becomeFollower(state, { term, leaderId: undefined });
  }
}

function handleReply(
  state: RaftState,
  from: Sender,
  message: Extract<RaftMessage, { kind: "appendReply" | "snapshotReply" }>,
): void {
  takeTerm(state, message.term);
  const progress = state.progress.get(from.id);
  const isCounted = state.isLeader && message.term === state.term &&
    progress?.incarnation === from.incarnation;
  if (!isCounted) {
    return;
  }
  if (message.kind === "appendReply") {
    handleAppendReply(state, progress, message);
  } else {
    handleSnapshotReply(state, progress, message);
  }
  advance(state);
  if (state.isLeader) {
    sendToMember(state, progress);
  }
}

/** A voter that missed its own removal would campaign for ever. */
function tellRemoved(state: RaftState, from: Sender): void {
  const isRemoved = state.isLeader &&
    findVoter(state.configuration, from.id) === undefined;
  if (isRemoved) {
    const progress = attend(state, from);
    if (progress !== undefined) {
      sendHeartbeat(state, progress);
    }
  }
}
