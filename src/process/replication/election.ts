/**
 * Pre-votes and votes.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import {
  findVoter,
  isElectionQuorum,
  isMajority,
} from "./group_configuration.ts";
import { startLeading } from "./leader.ts";
import { hasQuorumContact } from "./lease.ts";
import type { RaftMessageOf, Sender } from "./raft_message.ts";
import type { RaftState } from "./raft_state.ts";
import { becomeFollower, resetElectionTimer } from "./role.ts";

/** How often the time for an election is doubled at most. */
const SLOWDOWN_LIMIT = 4;

/** Starts or repeats an election when it is due. */
export function tickElection(state: RaftState): void {
  const mayCampaign = state.role === "follower" || state.role === "candidate";
  if (mayCampaign && state.nowMs >= state.electionDueMs) {
    campaign(state, { isPreVote: true, isHandOver: false });
  }
}

/** The leader asked this member to take over. */
export function handleHandOver(
  state: RaftState,
  message: RaftMessageOf<"handOver">,
): void {
  if (message.term === state.term && state.role === "follower") {
    campaign(state, { isPreVote: false, isHandOver: true });
  }
}

function campaign(
  state: RaftState,
  options: { isPreVote: boolean; isHandOver: boolean },
): void {
  const { retryMinMs, retryMaxMs } = state.timing;
  state.role = "candidate";
  state.leaderId = undefined;
  state.electionDueMs = state.nowMs +
    state.randomMs(retryMinMs, retryMaxMs) * slowdown(state);
  state.ballot = {
    isPreVote: options.isPreVote,
    granted: new Set([state.selfId]),
    successors: new Set(),
  };
  if (!options.isPreVote) {
    state.term += 1;
    state.votedFor = state.selfId;
    state.electionAttempts += 1;
  }
  if (!countBallot(state)) {
    askForVotes(state, options);
  }
}

/** After two attempts, slow disks and networks get longer and longer. */
function slowdown(state: RaftState): number {
  const failures = Math.max(0, state.electionAttempts - 1);
  return 2 ** Math.min(failures, SLOWDOWN_LIMIT);
}

function askForVotes(
  state: RaftState,
  options: { isPreVote: boolean; isHandOver: boolean },
): void {
  const request = {
    lastIndex: state.log.lastIndex,
    lastTerm: state.log.lastTerm,
  };
  for (const id of state.electorateIds()) {
    if (id === state.selfId) {
      continue;
    }
    const message = options.isPreVote
      ? { kind: "preVote" as const, term: state.term + 1, ...request }
      : {
        kind: "vote" as const,
        term: state.term,
        ...request,
        isHandOver: options.isHandOver,
      };
    // Whatever incarnation it has now may answer; see handleVoteReply.
    state.send(id, message, 0);
  }
}

/** Moves on when the votes suffice; true when they did. */
function countBallot(state: RaftState): boolean {
  const { ballot } = state;
  if (ballot === undefined) {
    return false;
  }
  const evidence = {
    hasAgreed: (id: InstanceId) => ballot.granted.has(id),
    isForgotten: (id: InstanceId) => ballot.successors.has(id),
    isDeclaredLost: (id: InstanceId) => state.isDeclaredLost(id),
  };
  const electorateIds = state.electorateIds();
  const isElected = isElectionQuorum(state.configuration, {
    evidence,
    electorateIds,
  });
  if (!isElected) {
    return false;
  }
  if (ballot.isPreVote) {
    campaign(state, { isPreVote: false, isHandOver: false });
    return true;
  }
  const isRecovery = !isMajority(state.configuration, evidence);
  state.ballot = undefined;
  startLeading(state, { isRecovery });
  return true;
}

/** Says whether a vote would be given. */
export function handlePreVote(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"preVote">,
): void {
  if (state.isFresh) {
    sayNothingHeld(state, from, message);
    return;
  }
  const isGranted = message.term > state.term && !isPromiseKept(state) &&
    isLogRecent(state, message);
  state.send(from.id, {
    kind: "voteReply",
    term: isGranted ? message.term : state.term,
    isPreVote: true,
    isGranted,
  }, from.incarnation);
}

/** Gives or refuses a vote. */
export function handleVote(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"vote">,
): void {
  if (state.isFresh) {
    sayNothingHeld(state, from, message);
    return;
  }
  if (message.term > state.term) {
    if (isPromiseKept(state) && !message.isHandOver) {
      return;
    }
    becomeFollower(state, { term: message.term, leaderId: undefined });
  }
  const isFree = state.votedFor === undefined || state.votedFor === from.id;
  const isGranted = message.term === state.term && isFree &&
    isLogRecent(state, message);
  if (isGranted) {
    state.votedFor = from.id;
    resetElectionTimer(state);
  }
  state.send(from.id, {
    kind: "voteReply",
    term: state.term,
    isPreVote: false,
    isGranted,
  }, from.incarnation);
}

/** A member that holds nothing has no vote, and nothing against anyone. */
function sayNothingHeld(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"preVote" | "vote">,
): void {
  state.send(from.id, {
    kind: "voteReply",
    term: message.term,
    isPreVote: message.kind === "preVote",
    isGranted: true,
  }, from.incarnation);
}

/** Counts a vote, if it comes from a voter that still is what it was. */
export function handleVoteReply(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"voteReply">,
): void {
  if (!message.isGranted) {
    if (message.term > state.term) {
      becomeFollower(state, { term: message.term, leaderId: undefined });
    }
    return;
  }
  const { ballot } = state;
  const awaitedTerm = state.term + (message.isPreVote ? 1 : 0);
  const isAwaited = ballot?.isPreVote === message.isPreVote &&
    message.term === awaitedTerm;
  if (!isAwaited) {
    return;
  }
  const voter = findVoter(state.configuration, from.id);
  if (voter === undefined || from.incarnation > voter.incarnation) {
    ballot.successors.add(from.id);
  } else if (!from.isGroupless) {
    ballot.granted.add(from.id);
  }
  countBallot(state);
}

/** Whether this member must leave its leader alone for now. */
function isPromiseKept(state: RaftState): boolean {
  if (state.hasMutation("promiseBroken")) {
    return false;
  }
  return state.isLeader
    ? hasQuorumContact(state)
    : state.nowMs < state.promiseEndMs;
}

function isLogRecent(
  state: RaftState,
  candidate: { lastIndex: number; lastTerm: number },
): boolean {
  if (state.hasMutation("votesForOlderLog")) {
    return true;
  }
  if (candidate.lastTerm !== state.log.lastTerm) {
    return candidate.lastTerm > state.log.lastTerm;
  }
  return candidate.lastIndex >= state.log.lastIndex;
}
