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
import type { Ballot, RaftState } from "./raft_state.ts";
import { becomeFollower, resetElectionTimer } from "./role.ts";

/** How often the time for an election is doubled at most. */
const SLOWDOWN_LIMIT = 4;

/** Starts or repeats an election when it is due. */
export function tickElection(state: RaftState): void {
  const mayCampaign = state.role === "follower" || state.role === "candidate";
  if (mayCampaign && state.nowMs >= state.electionDueMs) {
    campaign(state, { kind: "preVote" });
  }
}

/** The leader asked this member to take over. */
export function handleHandOver(
  state: RaftState,
  message: RaftMessageOf<"handOver">,
): void {
  if (message.term === state.term && state.role === "follower") {
    campaign(state, { kind: "vote", isHandOver: true, isLeaderless: false });
  }
}

/** What a candidate asks for. */
type Campaign =
  | { readonly kind: "preVote" }
  | {
    readonly kind: "vote";
    readonly isHandOver: boolean;
    readonly isLeaderless: boolean;
  };

function campaign(state: RaftState, options: Campaign): void {
  const isPreVote = options.kind === "preVote";
  const { retryMinMs, retryMaxMs } = state.timing;
  // One that restarted may have promised its vote to a leader, too.
  const hasOwnVote = !isPreVote || !isPromiseKept(state);
  state.role = "candidate";
  state.leaderId = undefined;
  state.electionDueMs = state.nowMs +
    state.randomMs(retryMinMs, retryMaxMs) * slowdown(state);
  state.ballot = {
    isPreVote,
    granted: new Set(hasOwnVote ? [state.selfId] : []),
    willing: new Set([state.selfId]),
    successors: new Set(),
  };
  if (!isPreVote) {
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

function askForVotes(state: RaftState, options: Campaign): void {
  const request = {
    lastIndex: state.log.lastIndex,
    lastTerm: state.log.lastTerm,
  };
  for (const id of state.electorateIds()) {
    if (id === state.selfId) {
      continue;
    }
    const message = options.kind === "preVote"
      ? { ...options, term: state.term + 1, ...request }
      : { ...options, term: state.term, ...request };
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
  const isLeaderless = ballot.isPreVote && isLeaderlessFor(state, ballot);
  const evidence = {
    hasAgreed: (id: InstanceId) =>
      ballot.granted.has(id) || (isLeaderless && ballot.willing.has(id)),
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
    campaign(state, { kind: "vote", isHandOver: false, isLeaderless });
    return true;
  }
  const isRecovery = !isMajority(state.configuration, evidence);
  state.ballot = undefined;
  startLeading(state, { isRecovery });
  return true;
}

/**
 * Whether no leader can exist: everyone who might vote has answered this very
 * ballot, and neither leads nor follows another one. A leader elected later
 * takes the term that this candidate asks for, in which nobody votes twice.
 */
function isLeaderlessFor(state: RaftState, ballot: Ballot): boolean {
  return state.electorateIds().every((id) =>
    ballot.willing.has(id) || ballot.successors.has(id)
  );
}

/** Whether this member knows of no leader but perhaps the one that asks. */
function knowsNoLeader(state: RaftState, asker: InstanceId): boolean {
  const mayLeadYet = state.ballot !== undefined && !state.ballot.isPreVote;
  const isLed = state.leaderId !== undefined && state.leaderId !== asker;
  return state.hasMutation("leaderDenied") ||
    (!state.isLeader && !mayLeadYet && !isLed);
}

/** Whoever is willing to vote in a term is elected in no earlier one. */
function leaveEarlierTerms(state: RaftState, term: number): void {
  const isBehind = term - 1 > state.term;
  if (isBehind && !state.hasMutation("staysInEarlierTerm")) {
    becomeFollower(state, { term: term - 1, leaderId: undefined });
  }
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
  const mayVote = message.term > state.term && isLogRecent(state, message);
  const isGranted = mayVote && !isPromiseKept(state);
  const isWilling = mayVote && knowsNoLeader(state, from.id);
  if (isWilling) {
    leaveEarlierTerms(state, message.term);
  }
  state.send(from.id, {
    kind: "voteReply",
    term: isGranted || isWilling ? message.term : state.term,
    isPreVote: true,
    isGranted,
    isWilling,
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
    const isReleased = message.isHandOver ||
      (message.isLeaderless && knowsNoLeader(state, from.id));
    if (isPromiseKept(state) && !isReleased) {
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
    isWilling: isGranted,
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
    isWilling: true,
  }, from.incarnation);
}

/** Counts a vote, if it comes from a voter that still is what it was. */
export function handleVoteReply(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"voteReply">,
): void {
  if (!message.isGranted && !message.isWilling) {
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
    noteVote(ballot, from.id, message);
  }
  countBallot(state);
}

function noteVote(
  ballot: Ballot,
  id: InstanceId,
  { isGranted, isWilling }: RaftMessageOf<"voteReply">,
): void {
  if (isGranted) {
    ballot.granted.add(id);
  }
  if (isWilling) {
    ballot.willing.add(id);
  }
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
