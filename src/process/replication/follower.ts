/**
 * What a member does with its leader's entries and snapshots.
 *
 * @module
 */

import type { LogSnapshot } from "./log_entry.ts";
import type { RaftMessageOf, Sender } from "./raft_message.ts";
import type { RaftState } from "./raft_state.ts";
import { becomeFollower, resetElectionTimer, settleRole } from "./role.ts";

/** The largest snapshot that a member takes in. */
export const SNAPSHOT_LIMIT_BYTES = 256 * 1024 * 1024;

/** A member without a vote repeats its answer after this many periods. */
const TOLD_FOLLOW_PERIODS = 5;

/** Takes entries or a heartbeat of the leader's. */
export function handleAppend(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"append">,
): void {
  if (!acceptLeader(state, from, message)) {
    return;
  }
  const isAccepted = takeEntries(state, message);
  const lastNewIndex = message.previousIndex + message.entries.length;
  if (isAccepted) {
    state.commitTo(
      Math.min(message.commitIndex, lastNewIndex, state.log.lastIndex),
    );
    noteCurrency(state, message);
  }
  settleRole(state);
  if (isAccepted && isToldAlready(state, message)) {
    return;
  }
  state.send(from.id, {
    kind: "appendReply",
    term: state.term,
    isAccepted,
    index: isAccepted
      ? claimedIndex(state, message)
      : retryIndex(state, message.previousIndex),
    sentAtMs: message.sentAtMs,
    stampMs: state.makeStamp(),
  }, from.incarnation);
}

/**
 * How far the log is said to match. The answer to a heartbeat claims only
 * what is synced, so that a slow disk doesn't hold it back.
 */
function claimedIndex(
  state: RaftState,
  message: RaftMessageOf<"append">,
): number {
  const { previousIndex, entries } = message;
  return entries.length === 0
    ? Math.min(previousIndex, state.persists.persistedIndex)
    : previousIndex + entries.length;
}

/**
 * A member without a vote answers a heartbeat that brings nothing only now
 * and then: it has asked for it.
 */
function isToldAlready(
  state: RaftState,
  message: RaftMessageOf<"append">,
): boolean {
  const { told, nowMs } = state;
  const isSame = state.role === "learner" && message.entries.length === 0 &&
    told?.term === message.term && told.index === message.previousIndex &&
    nowMs - told.atMs < state.timing.followMs * TOLD_FOLLOW_PERIODS;
  if (!isSame) {
    const index = message.previousIndex + message.entries.length;
    state.told = { term: message.term, index, atMs: nowMs };
  }
  return isSame;
}

/**
 * The stamp is a moment of this member's own clock before which the leader
 * sent the message; the leader led for certain as it did, so that all that
 * was committed by then is known here now.
 */
function noteCurrency(
  state: RaftState,
  message: RaftMessageOf<"append">,
): void {
  if (!message.isLeaseHeld || state.commitIndex < message.commitIndex) {
    return;
  }
  if (state.hasMutation("currentAtReceipt")) {
    state.currentAtMs = state.nowMs;
  } else if (state.isOwnStamp(message.stampMs)) {
    state.currentAtMs = Math.max(state.currentAtMs, message.stampMs);
  }
}

/** Follows the sender, unless its term is over. */
function acceptLeader(
  state: RaftState,
  from: Sender,
  message: { term: number },
): boolean {
  if (message.term < state.term) {
    sendRefusal(state, from);
    return false;
  }
  const isNews = message.term > state.term || state.leaderId !== from.id ||
    state.role === "candidate";
  if (isNews) {
    becomeFollower(state, { term: message.term, leaderId: from.id });
  }
  // An entry of this term is here from now on: no other candidate of the
  // term may get this vote, not even in an election without a majority.
  state.votedFor ??= from.id;
  state.promiseEndMs = state.nowMs + state.timing.leaderSilenceMs;
  resetElectionTimer(state);
  return true;
}

function sendRefusal(state: RaftState, from: Sender): void {
  state.send(from.id, {
    kind: "appendReply",
    term: state.term,
    isAccepted: false,
    index: state.log.lastIndex,
    sentAtMs: 0,
    stampMs: 0,
  }, from.incarnation);
}

/** Puts the entries in their places; false when the one before is missing. */
function takeEntries(
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

/** The last entry that may match: before the whole term that conflicts. */
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

/** Takes one piece of a snapshot; the last one replaces the log. */
export function handleSnapshotChunk(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"snapshotChunk">,
): void {
  if (!acceptLeader(state, from, message)) {
    return;
  }
  // Entries after the snapshot's may have been acknowledged: where the log
  // agrees with the snapshot, it stays.
  if (state.log.termAt(message.index) === message.indexTerm) {
    state.commitTo(message.index);
  }
  const nextOffsetBytes = message.index <= state.commitIndex
    ? message.totalBytes
    : takeChunk(state, from, message);
  settleRole(state);
  state.send(from.id, {
    kind: "snapshotReply",
    term: state.term,
    index: message.index,
    nextOffsetBytes,
    sentAtMs: message.sentAtMs,
    stampMs: state.makeStamp(),
  }, from.incarnation);
}

function takeChunk(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"snapshotChunk">,
): number {
  if (message.totalBytes > SNAPSHOT_LIMIT_BYTES) {
    return 0;
  }
  const incoming = incomingFor(state, from, message);
  const fits = message.offsetBytes === incoming.receivedBytes &&
    message.offsetBytes + message.data.byteLength <= message.totalBytes;
  if (!fits) {
    return incoming.receivedBytes;
  }
  incoming.buffer.set(message.data, message.offsetBytes);
  incoming.receivedBytes += message.data.byteLength;
  if (incoming.receivedBytes === message.totalBytes) {
    install(state, {
      index: message.index,
      term: message.indexTerm,
      configuration: message.configuration,
      data: incoming.buffer,
    });
  }
  return message.offsetBytes + message.data.byteLength;
}

function incomingFor(
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

function install(state: RaftState, snapshot: LogSnapshot): void {
  state.incoming = undefined;
  state.log.reset(snapshot);
  state.persists.reset(snapshot);
  state.commitIndex = snapshot.index;
  state.emit({ kind: "restore", snapshot });
  state.event("snapshotInstalled", { index: snapshot.index });
}
