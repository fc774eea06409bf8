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
import { sendRedirect } from "./following.ts";
import type { RaftMessageOf, Sender } from "./raft_message.ts";
import type { RaftState, VoteTally } from "./raft_state.ts";
import { becomeFollower, resetElectionTimer } from "./role.ts";

const MAX_DELAY_DOUBLINGS = 4;

/** Starts or repeats an election when it is due. */
export function tickElection(state: RaftState): void {
  const mayCampaign = state.role === "follower" || state.role === "candidate";
  if (mayCampaign && state.nowMs >= state.electionDueMs) {
    campaign(state, { kind: "preVote" });
  }
}

/** Starts an election at once, as the leader asked this member to take over. */
export function handleHandOver(
  state: RaftState,
  message: RaftMessageOf<"handOver">,
): void {
  if (message.term === state.term && state.role === "follower") {
    campaign(state, { kind: "vote", isHandOver: true, isLeaderless: false });
  }
}

/** The kind of vote that a candidate requests. */
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
  // A restarted member withholds its own pre-vote, too: before the restart, it
  // may have followed a leader that still holds its lease.
  const hasOwnVote = !isPreVote || !mustWithholdVote(state);
  state.role = "candidate";
  state.leaderId = undefined;
  state.electionDueMs = state.nowMs +
    state.randomMs(retryMinMs, retryMaxMs) * retryDelayFactor(state);
  state.tally = {
    isPreVote,
    granted: new Set(hasOwnVote ? [state.selfId] : []),
    willing: new Set([state.selfId]),
    withoutVote: new Set(),
  };
  if (!isPreVote) {
    state.term += 1;
    state.votedFor = state.selfId;
    state.electionAttempts += 1;
  }
  if (!advanceIfElected(state)) {
    requestVotes(state, options);
  }
}

/**
 * From the third attempt on, doubles the retry delay, as disks or networks may
 * be slow.
 */
function retryDelayFactor(state: RaftState): number {
  const failures = Math.max(0, state.electionAttempts - 1);
  return 2 ** Math.min(failures, MAX_DELAY_DOUBLINGS);
}

function requestVotes(state: RaftState, options: Campaign): void {
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
    // Any incarnation may answer; handleVoteReply tells them apart.
    state.send(id, message, 0);
  }
}

/**
 * Goes on to the vote or to leadership if the votes suffice; returns whether
 * they did.
 */
function advanceIfElected(state: RaftState): boolean {
  const { tally } = state;
  if (tally === undefined) {
    return false;
  }
  const isLeaderless = tally.isPreVote && isLeaderlessFor(state, tally);
  const evidence = {
    hasAgreed: (id: InstanceId) =>
      tally.granted.has(id) || (isLeaderless && tally.willing.has(id)),
    hasLostState: (id: InstanceId) => tally.withoutVote.has(id),
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
  if (tally.isPreVote) {
    campaign(state, { kind: "vote", isHandOver: false, isLeaderless });
    return true;
  }
  const isRecovery = !isMajority(state.configuration, evidence);
  state.tally = undefined;
  startLeading(state, { isRecovery });
  return true;
}

/**
 * Whether no leader can exist: everyone who might vote has answered this
 * pre-vote, and none of them leads or follows another leader. A leader elected
 * later needs at least the term that this candidate requests, in which nobody
 * votes twice.
 */
function isLeaderlessFor(state: RaftState, tally: VoteTally): boolean {
  return state.electorateIds().every((id) =>
    tally.willing.has(id) || tally.withoutVote.has(id)
  );
}

/** Whether this member knows of no leader, except possibly the requester. */
function knowsNoLeader(state: RaftState, requesterId: InstanceId): boolean {
  const isAwaitingVotes = state.tally !== undefined && !state.tally.isPreVote;
  const followsOther = state.leaderId !== undefined &&
    state.leaderId !== requesterId;
  return state.hasMutation("deniesKnownLeader") ||
    (!state.isLeader && !isAwaitingVotes && !followsOther);
}

/**
 * Moves to the term before `term`: a member that is willing to vote in a term
 * must not be elected in an earlier one.
 */
function leaveEarlierTerms(state: RaftState, term: number): void {
  const isBehind = term - 1 > state.term;
  if (isBehind && !state.hasMutation("staysInEarlierTerm")) {
    becomeFollower(state, { term: term - 1, leaderId: undefined });
  }
}

/** Replies whether a vote would be granted. */
export function handlePreVote(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"preVote">,
): void {
  if (state.isFresh) {
    replyWithoutGroupState(state, from, message);
    return;
  }
  const mayVote = message.term > state.term && isLogUpToDate(state, message);
  const isGranted = mayVote && !mustWithholdVote(state);
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
  const knowsOtherLeader = !state.isLeader && state.leaderId !== undefined &&
    state.leaderId !== from.id;
  const isHidden = state.hasMutation("hidesLeaderFromCandidates");
  if (!isGranted && knowsOtherLeader && !isHidden) {
    // A voter that was replaced while it was cut off may never have met it.
    sendRedirect(state, from);
  }
}

/** Grants or refuses a vote; doesn't reply while votes are withheld. */
export function handleVote(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"vote">,
): void {
  if (state.isFresh) {
    replyWithoutGroupState(state, from, message);
    return;
  }
  if (message.term > state.term) {
    const isExempt = message.isHandOver ||
      (message.isLeaderless && knowsNoLeader(state, from.id));
    if (mustWithholdVote(state) && !isExempt) {
      return;
    }
    becomeFollower(state, { term: message.term, leaderId: undefined });
  }
  const hasVoteLeft = state.votedFor === undefined ||
    state.votedFor === from.id;
  const isGranted = message.term === state.term && hasVoteLeft &&
    isLogUpToDate(state, message);
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

/**
 * Replies for a member without group state: it has no vote and no objection.
 */
function replyWithoutGroupState(
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

/**
 * Counts a vote. Those of newer incarnations of voters, and of members that
 * aren't voters, are recorded separately; that of a founder that hasn't joined
 * the group yet doesn't count.
 */
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
  const { tally } = state;
  const awaitedTerm = state.term + (message.isPreVote ? 1 : 0);
  const isAwaited = tally?.isPreVote === message.isPreVote &&
    message.term === awaitedTerm;
  if (!isAwaited) {
    return;
  }
  const voter = findVoter(state.configuration, from.id);
  if (voter === undefined || from.incarnation > voter.incarnation) {
    tally.withoutVote.add(from.id);
  } else if (!from.isGroupless) {
    recordVote(tally, from.id, message);
  }
  advanceIfElected(state);
}

function recordVote(
  tally: VoteTally,
  id: InstanceId,
  { isGranted, isWilling }: RaftMessageOf<"voteReply">,
): void {
  if (isGranted) {
    tally.granted.add(id);
  }
  if (isWilling) {
    tally.willing.add(id);
  }
}

/** Whether this member must not vote for another leader yet. */
function mustWithholdVote(state: RaftState): boolean {
  if (state.hasMutation("votesDespiteLeader")) {
    return false;
  }
  return state.isLeader
    ? hasQuorumContact(state)
    : state.steadyMs < state.withholdVotesUntilMs;
}

function isLogUpToDate(
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
