/**
 * How a learner finds its leader and requests new entries from it.
 *
 * @module
 */

import { findVoter } from "./group_configuration.ts";
import { addProgress } from "./leader.ts";
import { sendHeartbeat, sendToMember } from "./leader_send.ts";
import type { LeaderProgress } from "./leader_progress.ts";
import type { RaftMessageOf, Sender } from "./raft_message.ts";
import type { RaftState } from "./raft_state.ts";

/** Shortens the period of `follow` messages while no leader is known. */
const SEARCH_PERIOD_FACTOR = 0.3;

/** Sends a `follow` to the leader, or to every member while none is known. */
export function tickFollowing(state: RaftState): void {
  if (state.role !== "learner" || state.nowMs < state.followDueMs) {
    return;
  }
  const { followMs } = state.timing;
  const isSilent = state.steadyMs >= state.withholdVotesUntilMs;
  if (isSilent) {
    state.leaderId = undefined;
  }
  const targets = state.leaderId === undefined
    ? state.options.members.map((member) => member.id)
    : [state.leaderId];
  for (const id of targets) {
    if (id !== state.selfId) {
      sendFollow(state, id);
    }
  }
  const isSearching = state.leaderId === undefined;
  state.followDueMs = state.nowMs +
    followMs * (isSearching ? SEARCH_PERIOD_FACTOR : 1);
}

function sendFollow(state: RaftState, to: string): void {
  state.send(to, {
    kind: "follow",
    term: state.term,
    lastIndex: state.log.lastIndex,
    stampMs: state.issueTimestamp(),
    wantsVote: state.self?.isVoter ?? false,
    isDurable: state.self?.isDurable ?? false,
    isFresh: state.isFresh,
  }, 0);
}

/**
 * Answers a learner's `follow`: a founder that hasn't joined yet gets a welcome;
 * others get entries if this member leads, or else a redirect.
 */
export function handleFollow(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"follow">,
): void {
  if (state.isFresh) {
    return;
  }
  const voter = findVoter(state.configuration, from.id);
  const isFounder = message.isFresh && voter?.incarnation === from.incarnation;
  if (isFounder) {
    const { configuration } = state;
    state.send(from.id, { kind: "welcome", configuration }, from.incarnation);
    return;
  }
  const isOutdated = from.incarnation < (voter?.incarnation ?? 0);
  if (state.isLeader && !isOutdated) {
    serveLearner(state, from, message);
    return;
  }
  sendRedirect(state, from);
}

/**
 * Tells a member who leads, as far as this one knows, and which incarnation it
 * must exceed.
 */
export function sendRedirect(state: RaftState, to: Sender): void {
  const voter = findVoter(state.configuration, to.id);
  state.send(to.id, {
    kind: "redirect",
    ...(state.leaderId === undefined ? {} : { leaderId: state.leaderId }),
    lowerIncarnation: Math.max(
      voter?.incarnation ?? 0,
      state.progress.get(to.id)?.incarnation ?? 0,
      state.lostIncarnations.get(to.id) ?? 0,
    ),
  }, to.incarnation);
}

/** Tracks the sender of a message, unless it is an outdated incarnation. */
export function trackMember(
  state: RaftState,
  from: Sender,
): LeaderProgress | undefined {
  const known = state.progress.get(from.id);
  const isOutdated = from.incarnation < (known?.incarnation ?? 0) ||
    from.incarnation <= (state.lostIncarnations.get(from.id) ?? -1);
  if (isOutdated) {
    return undefined;
  }
  const progress = known?.incarnation === from.incarnation
    ? known
    : addProgress(state, from.id, from.incarnation);
  progress.markHeard(state);
  return progress;
}

function serveLearner(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"follow">,
): void {
  const progress = trackMember(state, from);
  if (progress === undefined) {
    sendRedirect(state, from);
    return;
  }
  if (progress.matchIndex === 0) {
    progress.nextIndex = Math.min(progress.nextIndex, message.lastIndex + 1);
  }
  progress.stampMs = Math.max(progress.stampMs, message.stampMs);
  progress.wantsVote = message.wantsVote;
  progress.isDurable = message.isDurable;
  const sentBefore = progress.sentMessages;
  sendToMember(state, progress);
  if (progress.sentMessages === sentBefore) {
    sendHeartbeat(state, progress);
  }
}

/**
 * Sends a `follow` to the leader that a member named, or lets the owner connect
 * to it first. A member without group state raises its incarnation before, if it
 * is too low.
 */
export function handleRedirect(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"redirect">,
): void {
  if (state.isFresh && message.lowerIncarnation >= state.incarnation) {
    state.incarnation = message.lowerIncarnation + 1;
  }
  const { leaderId } = message;
  if (leaderId === undefined || leaderId === state.selfId) {
    return;
  }
  if (!state.hasMutation("ignoresNamedLeader")) {
    state.reportMember(leaderId);
  }
  const isSearching = state.role === "learner" && state.leaderId === undefined;
  // A leader that refuses this member is asked again with the next tick.
  if (isSearching && leaderId !== from.id) {
    sendFollow(state, leaderId);
  }
}
