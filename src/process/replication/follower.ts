/**
 * Handling of the leader's entries and snapshots.
 *
 * @module
 */

import type { LogSnapshot } from "./log_entry.ts";
import type { RaftMessageOf, Sender } from "./raft_message.ts";
import type { RaftState } from "./raft_state.ts";
import { becomeFollower, resetElectionTimer, updateRole } from "./role.ts";

/** The largest snapshot that a member accepts. */
export const SNAPSHOT_LIMIT_BYTES = 256 * 1024 * 1024;

/** A learner repeats an unchanged reply after this many follow periods. */
const REPLY_REPEAT_FOLLOW_PERIODS = 5;

/** Handles entries or a heartbeat from the leader. */
export function handleAppend(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"append">,
): void {
  if (!acceptLeader(state, from, message)) {
    return;
  }
  const isAccepted = appendEntries(state, message);
  const lastNewIndex = message.previousIndex + message.entries.length;
  if (isAccepted) {
    state.commitTo(
      Math.min(message.commitIndex, lastNewIndex, state.log.lastIndex),
    );
    updateCurrentAt(state, message);
  }
  updateRole(state);
  if (isAccepted && isUnchangedReply(state, message)) {
    return;
  }
  state.send(from.id, {
    kind: "appendReply",
    term: state.term,
    isAccepted,
    index: isAccepted
      ? acknowledgedIndex(state, message)
      : retryIndex(state, message.previousIndex),
    sentAtMs: message.sentAtMs,
    stampMs: state.issueTimestamp(),
  }, from.incarnation);
}

/**
 * The last entry that a reply acknowledges. The reply to a heartbeat
 * acknowledges only synced entries, so that it needn't wait for a slow disk.
 */
function acknowledgedIndex(
  state: RaftState,
  message: RaftMessageOf<"append">,
): number {
  const { previousIndex, entries } = message;
  return entries.length === 0
    ? Math.min(previousIndex, state.persistTracker.persistedIndex)
    : previousIndex + entries.length;
}

/**
 * Whether a learner may skip its reply to a heartbeat that brings nothing new:
 * the heartbeat itself only answers the learner's `follow`. One that may vote
 * replies, as its leader needs a recent answer to make it a voter.
 */
function isUnchangedReply(
  state: RaftState,
  message: RaftMessageOf<"append">,
): boolean {
  const { lastAppendReply, nowMs } = state;
  const isSame = state.role === "learner" && state.self?.isVoter !== true &&
    message.entries.length === 0 &&
    lastAppendReply?.term === message.term &&
    lastAppendReply.index === message.previousIndex &&
    nowMs - lastAppendReply.atMs <
      state.timing.followMs * REPLY_REPEAT_FOLLOW_PERIODS;
  if (!isSame) {
    const index = message.previousIndex + message.entries.length;
    state.lastAppendReply = { term: message.term, index, atMs: nowMs };
  }
  return isSame;
}

/**
 * Updates the time at which this copy was current. The leader sent the message
 * after this member issued the timestamp in it, and held its lease then, so
 * that everything committed before the timestamp is known here now.
 */
function updateCurrentAt(
  state: RaftState,
  message: RaftMessageOf<"append">,
): void {
  if (!message.isLeaseHeld || state.commitIndex < message.commitIndex) {
    return;
  }
  if (state.hasMutation("currentAtReceipt")) {
    state.currentAtMs = state.nowMs;
  } else if (state.isOwnTimestamp(message.stampMs)) {
    state.currentAtMs = Math.max(state.currentAtMs, message.stampMs);
  }
}

/** Accepts the sender as leader, unless its term is over. */
function acceptLeader(
  state: RaftState,
  from: Sender,
  message: { term: number },
): boolean {
  if (message.term < state.term) {
    sendRejection(state, from);
    return false;
  }
  const isNewLeader = message.term > state.term || state.leaderId !== from.id ||
    state.role === "candidate";
  if (isNewLeader) {
    becomeFollower(state, { term: message.term, leaderId: from.id });
  }
  // This member may store entries of this term from now on: no other candidate
  // of the term may get its vote, not even in an election without a majority.
  state.votedFor ??= from.id;
  state.withholdVotesUntilMs = state.steadyMs + state.timing.leaderSilenceMs;
  resetElectionTimer(state);
  return true;
}

function sendRejection(state: RaftState, from: Sender): void {
  state.send(from.id, {
    kind: "appendReply",
    term: state.term,
    isAccepted: false,
    index: state.log.lastIndex,
    sentAtMs: 0,
    stampMs: 0,
  }, from.incarnation);
}

/**
 * Appends the entries, replacing conflicting ones; returns false if the entry
 * before them is missing or differs.
 */
function appendEntries(
  state: RaftState,
  message: RaftMessageOf<"append">,
): boolean {
  const { previousIndex, previousTerm } = message;
  const isMatch = previousIndex <= state.commitIndex ||
    state.log.termAt(previousIndex) === previousTerm;
  if (!isMatch) {
    return false;
  }
  for (const entry of message.entries) {
    const isKnown = entry.index <= state.commitIndex ||
      state.log.termAt(entry.index) === entry.term;
    if (isKnown) {
      continue;
    }
    if (entry.index <= state.log.lastIndex) {
      state.truncateFrom(entry.index);
    }
    state.appendEntry(entry);
  }
  return true;
}

/**
 * The last entry that may match: the one before all entries of the conflicting
 * term.
 */
function retryIndex(state: RaftState, previousIndex: number): number {
  if (previousIndex > state.log.lastIndex) {
    return state.log.lastIndex;
  }
  const term = state.log.termAt(previousIndex);
  let index = previousIndex;
  while (index > state.commitIndex && state.log.termAt(index) === term) {
    index -= 1;
  }
  return index;
}

/** Stores a chunk of a snapshot; the last one replaces the log. */
export function handleSnapshotChunk(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"snapshotChunk">,
): void {
  if (!acceptLeader(state, from, message)) {
    return;
  }
  // Entries after the snapshot may have been acknowledged, so a log that
  // matches the snapshot is kept.
  if (state.log.termAt(message.index) === message.indexTerm) {
    state.commitTo(message.index);
  }
  const nextOffsetBytes = message.index <= state.commitIndex
    ? message.totalBytes
    : storeChunk(state, from, message);
  updateRole(state);
  state.send(from.id, {
    kind: "snapshotReply",
    term: state.term,
    index: message.index,
    nextOffsetBytes,
    sentAtMs: message.sentAtMs,
    stampMs: state.issueTimestamp(),
  }, from.incarnation);
}

function storeChunk(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"snapshotChunk">,
): number {
  if (message.totalBytes > SNAPSHOT_LIMIT_BYTES) {
    return 0;
  }
  const incoming = incomingSnapshotFor(state, from, message);
  const isExpected = message.offsetBytes === incoming.receivedBytes &&
    message.offsetBytes + message.data.byteLength <= message.totalBytes;
  if (!isExpected) {
    return incoming.receivedBytes;
  }
  incoming.buffer.set(message.data, message.offsetBytes);
  incoming.receivedBytes += message.data.byteLength;
  if (incoming.receivedBytes === message.totalBytes) {
    installSnapshot(state, {
      index: message.index,
      term: message.indexTerm,
      configuration: message.configuration,
      data: incoming.buffer,
    });
  }
  return message.offsetBytes + message.data.byteLength;
}

function incomingSnapshotFor(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"snapshotChunk">,
) {
  const isSame = state.incoming?.index === message.index &&
    state.incoming.term === message.indexTerm &&
    state.incoming.leaderId === from.id &&
    state.incoming.buffer.byteLength === message.totalBytes;
  if (!isSame) {
    state.incoming = {
      index: message.index,
      term: message.indexTerm,
      leaderId: from.id,
      buffer: new Uint8Array(message.totalBytes),
      receivedBytes: 0,
    };
  }
  return state.incoming!;
}

function installSnapshot(state: RaftState, snapshot: LogSnapshot): void {
  state.incoming = undefined;
  state.log.reset(snapshot);
  state.persistTracker.reset(snapshot);
  state.commitIndex = snapshot.index;
  state.emit({ kind: "restore", snapshot });
  state.emitEvent("snapshotInstalled", { index: snapshot.index });
}
