/**
 * How a member without a vote finds its leader and asks for what is new.
 *
 * @module
 */

import { findVoter } from "./group_configuration.ts";
import { addProgress } from "./leader.ts";
import { sendHeartbeat, sendToMember } from "./leader_send.ts";
import type { LeaderProgress } from "./leader_progress.ts";
import type { RaftMessageOf, Sender } from "./raft_message.ts";
import type { RaftState } from "./raft_state.ts";

/** A member that knows no leader asks more often, by this factor. */
const SEARCH_FACTOR = 0.3;

/** Asks the leader, or everyone while none is known. */
export function tickFollowing(state: RaftState): void {
  if (state.role !== "learner" || state.nowMs < state.followDueMs) {
    return;
  }
  const { followMs } = state.timing;
  const isSilent = state.nowMs >= state.promiseEndMs;
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
    followMs * (isSearching ? SEARCH_FACTOR : 1);
}

function sendFollow(state: RaftState, to: string): void {
  state.send(to, {
    kind: "follow",
    term: state.term,
    lastIndex: state.log.lastIndex,
    stampMs: state.makeStamp(),
    wantsVote: state.self?.isVoter ?? false,
    isDurable: state.self?.isDurable ?? false,
    isFresh: state.isFresh,
  }, 0);
}

/** A member asks what is new. */
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
  const isOld = from.incarnation < (voter?.incarnation ?? 0);
  if (state.isLeader && !isOld) {
    serve(state, from, message);
    return;
  }
  state.send(from.id, {
    kind: "redirect",
    ...(state.leaderId === undefined ? {} : { leaderId: state.leaderId }),
    lowerIncarnation: voter?.incarnation ?? 0,
  }, from.incarnation);
}

/** Keeps track of a member that showed up, unless it is an old message. */
export function attend(
  state: RaftState,
  from: Sender,
): LeaderProgress | undefined {
  const known = state.progress.get(from.id);
  if (from.incarnation < (known?.incarnation ?? 0)) {
    return undefined;
  }
  const progress = known?.incarnation === from.incarnation
    ? known
    : addProgress(state, from.id, from.incarnation);
  progress.lastHeardMs = state.nowMs;
  return progress;
}

function serve(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"follow">,
): void {
  const progress = attend(state, from);
  if (progress === undefined) {
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

/** Someone said where the leader is, or that this incarnation is too low. */
export function handleRedirect(
  state: RaftState,
  message: RaftMessageOf<"redirect">,
): void {
  if (state.isFresh && message.lowerIncarnation >= state.incarnation) {
    state.incarnation = message.lowerIncarnation + 1;
  }
  const isNews = state.role === "learner" && state.leaderId === undefined &&
    message.leaderId !== undefined && message.leaderId !== state.selfId;
  if (isNews) {
    sendFollow(state, message.leaderId!);
  }
}
