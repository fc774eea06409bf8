/**
 * Messages from a leader to one member (entries, heartbeats and snapshot
 * chunks), and the handling of the replies.
 *
 * @module
 */

import { findVoter } from "./group_configuration.ts";
import type { LeaderProgress } from "./leader_progress.ts";
import { isLeaseHeld } from "./lease.ts";
import { entryBytes, type LogEntry } from "./log_entry.ts";
import type { RaftMessageOf } from "./raft_message.ts";
import type { RaftState } from "./raft_state.ts";

/**
 * A learner that is silent for this many follow periods gets no more messages.
 */
const LEARNER_TIMEOUT_FOLLOW_PERIODS = 4;

/** Sends the data that the member lacks, or a heartbeat when one is due. */
export function sendToMember(
  state: RaftState,
  progress: LeaderProgress,
): void {
  if (!isActive(state, progress)) {
    return;
  }
  if (needsSnapshot(state, progress)) {
    sendChunk(state, progress);
  } else {
    sendEntries(state, progress);
  }
  const hasUnsentCommit = progress.sentCommitIndex < state.commitIndex &&
    progress.nextIndex > state.commitIndex;
  if (hasUnsentCommit || isHeartbeatDue(state, progress)) {
    sendAppend(state, progress, []);
  }
}

/** Sends a heartbeat at once. */
export function sendHeartbeat(
  state: RaftState,
  progress: LeaderProgress,
): void {
  sendAppend(state, progress, []);
}

function isVoter(state: RaftState, progress: LeaderProgress): boolean {
  const voter = findVoter(state.configuration, progress.id);
  return voter?.incarnation === progress.incarnation;
}

function isActive(state: RaftState, progress: LeaderProgress): boolean {
  const silentMs = state.nowMs - progress.lastHeardMs;
  return isVoter(state, progress) ||
    silentMs < state.timing.followMs * LEARNER_TIMEOUT_FOLLOW_PERIODS;
}

function isHeartbeatDue(state: RaftState, progress: LeaderProgress): boolean {
  const idleMs = state.nowMs - progress.lastSentMs;
  return isVoter(state, progress) && idleMs >= state.timing.heartbeatMs;
}

function needsSnapshot(state: RaftState, progress: LeaderProgress): boolean {
  return state.log.termAt(progress.nextIndex - 1) === undefined;
}

function sendEntries(state: RaftState, progress: LeaderProgress): void {
  while (
    progress.nextIndex <= state.log.lastIndex &&
    progress.canSendEntries(state.nowMs)
  ) {
    const { appendBytes } = state.timing;
    const entries = state.log.slice(progress.nextIndex, appendBytes);
    sendAppend(state, progress, entries);
  }
}

function sendAppend(
  state: RaftState,
  progress: LeaderProgress,
  entries: LogEntry[],
): void {
  const previousIndex = progress.nextIndex - 1;
  const previousTerm = state.log.termAt(previousIndex);
  const message: RaftMessageOf<"append"> = {
    kind: "append",
    term: state.term,
    previousIndex: previousTerm === undefined ? 0 : previousIndex,
    previousTerm: previousTerm ?? 0,
    entries,
    commitIndex: state.commitIndex,
    sentAtMs: state.nowMs,
    stampMs: progress.stampMs,
    isLeaseHeld: isLeaseHeld(state),
  };
  if (entries.length > 0) {
    const bytes = entries.reduce((sum, entry) => sum + entryBytes(entry), 0);
    const lastIndex = entries.at(-1)!.index;
    progress.markEntriesSent({ lastIndex, bytes }, state.nowMs);
  }
  progress.sentCommitIndex = state.commitIndex;
  progress.markMessageSent(state.nowMs);
  state.send(progress.id, message, progress.incarnation);
}

function sendChunk(state: RaftState, progress: LeaderProgress): void {
  progress.snapshot ??= {
    snapshot: state.log.snapshot,
    offsetBytes: 0,
    sentAtMs: -Infinity,
  };
  const transfer = progress.snapshot;
  const { snapshot } = transfer;
  const isBlocked = transfer.sentAtMs > -Infinity ||
    !progress.bucket.hasTokens(state.nowMs);
  if (isBlocked) {
    return;
  }
  const start = transfer.offsetBytes;
  const data = snapshot.data.subarray(start, start + state.timing.chunkBytes);
  transfer.sentAtMs = state.nowMs;
  progress.bucket.take(data.byteLength, state.nowMs);
  progress.markMessageSent(state.nowMs);
  state.send(progress.id, {
    kind: "snapshotChunk",
    term: state.term,
    index: snapshot.index,
    indexTerm: snapshot.term,
    configuration: snapshot.configuration,
    totalBytes: snapshot.data.byteLength,
    offsetBytes: start,
    data,
    sentAtMs: state.nowMs,
  }, progress.incarnation);
}

/** Handles the reply to entries or a heartbeat. */
export function handleAppendReply(
  state: RaftState,
  progress: LeaderProgress,
  message: RaftMessageOf<"appendReply">,
): void {
  recordReply(state, progress, message);
  if (message.isAccepted) {
    progress.markMatched(message.index, state.nowMs);
  } else {
    progress.rewindTo(Math.min(progress.nextIndex - 1, message.index + 1));
  }
}

/** Handles the reply to a snapshot chunk. */
export function handleSnapshotReply(
  state: RaftState,
  progress: LeaderProgress,
  message: RaftMessageOf<"snapshotReply">,
): void {
  recordReply(state, progress, message);
  const transfer = progress.snapshot;
  if (transfer?.snapshot.index !== message.index) {
    return;
  }
  transfer.offsetBytes = message.nextOffsetBytes;
  transfer.sentAtMs = -Infinity;
  if (message.nextOffsetBytes >= transfer.snapshot.data.byteLength) {
    progress.snapshot = undefined;
    progress.markMatched(message.index, state.nowMs);
  }
}

function recordReply(
  state: RaftState,
  progress: LeaderProgress,
  message: { sentAtMs: number; stampMs: number },
): void {
  progress.markHeard(state);
  progress.answeredSentAtMs = Math.max(
    progress.answeredSentAtMs,
    message.sentAtMs,
  );
  progress.stampMs = Math.max(progress.stampMs, message.stampMs);
  const voter = findVoter(state.configuration, progress.id);
  const isDurable = voter?.isDurable === true &&
    voter.incarnation === progress.incarnation;
  if (isDurable) {
    state.lastDurableReplyMs = state.nowMs;
  }
}
