/**
 * Leadership: appending, replicating and committing entries.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import {
  findVoter,
  type GroupConfiguration,
  isCommitQuorum,
} from "./group_configuration.ts";
import { LeaderProgress } from "./leader_progress.ts";
import { sendToMember } from "./leader_send.ts";
import { hasQuorumContact } from "./lease.ts";
import { encodeConfiguration, entryBytes, type LogEntry } from "./log_entry.ts";
import type { RaftInputOf, RaftState } from "./raft_state.ts";
import { becomeFollower } from "./role.ts";

/** Starts leading in the current term. */
export function startLeading(
  state: RaftState,
  options: { isRecovery: boolean },
): void {
  state.role = "leader";
  state.leaderId = state.selfId;
  state.electionDueMs = Infinity;
  state.electionAttempts = 0;
  state.pendingBytes = 0;
  state.leaderSinceMs = state.nowMs;
  state.lastDurableReplyMs = state.nowMs;
  state.progress.clear();
  for (const voter of state.configuration.voters) {
    if (voter.id !== state.selfId) {
      addProgress(state, voter.id, voter.incarnation);
    }
  }
  state.emitEvent("leadershipGained", { term: state.term });
  if (options.isRecovery) {
    state.emitEvent("groupRecovered", { term: state.term });
  }
  state.termStartIndex = appendNewEntry(state, "start", new Uint8Array()).index;
  broadcast(state);
}

/** Starts tracking the progress of a member. */
export function addProgress(
  state: RaftState,
  id: InstanceId,
  incarnation: number,
): LeaderProgress {
  const progress = new LeaderProgress({
    id,
    incarnation,
    nextIndex: state.log.lastIndex + 1,
    nowMs: state.nowMs,
    attendedMs: state.attendedMs,
    bytesPerSecond: state.options.catchUpBytesPerSecond(id),
  });
  state.progress.set(id, progress);
  return progress;
}

/** Appends a new entry in this leader's term. */
function appendNewEntry(
  state: RaftState,
  kind: LogEntry["kind"],
  data: Uint8Array,
): LogEntry {
  const entry: LogEntry = {
    index: state.log.lastIndex + 1,
    term: state.term,
    kind,
    data,
  };
  state.appendEntry(entry);
  state.pendingBytes += entryBytes(entry);
  return entry;
}

/** Appends a proposed command, or rejects it with the reason. */
export function handleProposal(
  state: RaftState,
  input: RaftInputOf<"propose">,
): void {
  if (!state.isLeader) {
    rejectProposal(state, input.token, "notLeader");
    return;
  }
  const pending = state.log.lastIndex - state.commitIndex;
  const isFull = pending >= state.timing.pendingEntries ||
    state.pendingBytes >= state.timing.pendingBytes;
  if (isFull) {
    rejectProposal(state, input.token, "overloaded");
    return;
  }
  const entry = appendNewEntry(state, "command", input.data);
  state.emit({
    kind: "proposalAppended",
    token: input.token,
    index: entry.index,
    term: entry.term,
  });
}

function rejectProposal(
  state: RaftState,
  token: number,
  reason: "notLeader" | "overloaded",
): void {
  state.emit({ kind: "proposalRejected", token, reason });
}

/** Appends a new configuration, which takes effect at once. */
export function appendConfiguration(
  state: RaftState,
  configuration: GroupConfiguration,
): void {
  appendNewEntry(state, "configuration", encodeConfiguration(configuration));
  for (const voter of configuration.voters) {
    if (voter.id !== state.selfId && !state.progress.has(voter.id)) {
      addProgress(state, voter.id, voter.incarnation);
    }
  }
  state.emitEvent("membersChanged", {
    voters: configuration.voters.map((voter) => voter.id).join(","),
  });
  broadcast(state);
}

/** Sends every tracked member the data that it lacks. */
export function broadcast(state: RaftState): void {
  for (const progress of state.progress.values()) {
    sendToMember(state, progress);
  }
}

/** Commits entries that enough voters store, and notifies the other members. */
export function advanceCommit(state: RaftState): void {
  if (!state.isLeader) {
    return;
  }
  const index = committableIndex(state);
  if (index <= state.commitIndex) {
    return;
  }
  state.commitTo(index);
  const isRemoved = !state.isVoterNow() &&
    state.log.configurationIndex <= state.commitIndex;
  broadcast(state);
  if (isRemoved) {
    becomeFollower(state, { term: state.term, leaderId: undefined });
  }
}

function committableIndex(state: RaftState): number {
  const storedIndexOf = (id: InstanceId) => storedIndex(state, id);
  const candidates = state.configuration.voters
    .map((voter) => storedIndexOf(voter.id))
    .sort((left, right) => right - left);
  const found = candidates.find((index) => isCommittable(state, index));
  return found ?? 0;
}

function isCommittable(state: RaftState, index: number): boolean {
  const isOwnTerm = state.log.termAt(index) === state.term;
  if (!isOwnTerm && !state.hasMutation("commitsEarlierTerms")) {
    return false;
  }
  const configuration = state.hasMutation("commitsWithoutDurable")
    ? { ...state.configuration, isDurabilityWaived: true }
    : state.configuration;
  const evidence = state.evidence((id) => storedIndex(state, id) >= index);
  return isCommitQuorum(configuration, evidence);
}

function storedIndex(state: RaftState, id: InstanceId): number {
  if (id === state.selfId) {
    return state.hasMutation("answersBeforeSync")
      ? state.log.lastIndex
      : state.persistTracker.persistedIndex;
  }
  const progress = state.progress.get(id);
  const voter = findVoter(state.configuration, id);
  return progress?.incarnation === voter?.incarnation
    ? progress?.matchIndex ?? 0
    : 0;
}

/**
 * Sends heartbeats, resends entries, steps down without contact to a majority,
 * and hands over while the disk hangs.
 */
export function tickLeader(state: RaftState): void {
  if (!state.isLeader) {
    return;
  }
  if (!hasQuorumContact(state)) {
    becomeFollower(state, { term: state.term, leaderId: undefined });
    return;
  }
  if (isDiskHanging(state)) {
    handOver(state);
    if (!state.isLeader) {
      return;
    }
  }
  for (const progress of state.progress.values()) {
    progress.rewindIfStalled(state.nowMs, state.timing.resendMs);
    progress.recordRound(state.log.lastIndex, state.nowMs);
    sendToMember(state, progress);
  }
}

function isDiskHanging(state: RaftState): boolean {
  const { oldestIssuedAtMs } = state.persistTracker;
  return oldestIssuedAtMs !== undefined &&
    state.nowMs - oldestIssuedAtMs > state.timing.diskTimeoutMs;
}

/**
 * Steps down and hands over to a voter that stores the complete log, the one
 * that answered last. Keeps leading if there is none.
 */
export function handOver(state: RaftState): void {
  const target = mostCompleteVoter(state);
  if (target?.matchIndex === state.log.lastIndex) {
    handOverTo(state, target);
  }
}

/**
 * Steps down and asks the voter with the most entries to take over. It needn't
 * have all: those that it lacks may be uncommitted, and the election shows it.
 */
export function abdicate(state: RaftState): void {
  const target = mostCompleteVoter(state);
  if (target !== undefined) {
    handOverTo(state, target);
  }
}

/** Another voter with the most entries; of several, the last that answered. */
function mostCompleteVoter(state: RaftState): LeaderProgress | undefined {
  if (!state.isLeader) {
    return undefined;
  }
  return state.configuration.voters
    .map((voter) => state.progress.get(voter.id))
    .filter((progress) => progress !== undefined)
    .filter((progress) => !state.hasLostState(progress.id))
    .sort((left, right) =>
      right.matchIndex - left.matchIndex ||
      right.answeredSentAtMs - left.answeredSentAtMs
    )[0];
}

function handOverTo(state: RaftState, target: LeaderProgress): void {
  const { id, incarnation } = target;
  const { term } = state;
  becomeFollower(state, { term, leaderId: undefined });
  state.send(id, { kind: "handOver", term }, incarnation);
}
