/**
 * What a leader does: it appends, sends, counts and commits.
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

/** Begins to lead in the current term. */
export function startLeading(
  state: RaftState,
  options: { isRecovery: boolean },
): void {
  state.role = "leader";
  state.leaderId = state.selfId;
  state.electionDueMs = Infinity;
  state.electionAttempts = 0;
  state.pendingBytes = 0;
  state.leadsSinceMs = state.nowMs;
  state.durableSeenMs = state.nowMs;
  state.progress.clear();
  for (const voter of state.configuration.voters) {
    if (voter.id !== state.selfId) {
      addProgress(state, voter.id, voter.incarnation);
    }
  }
  state.event("leadershipGained", { term: state.term });
  if (options.isRecovery) {
    state.event("groupRecovered", { term: state.term });
  }
  state.termStartIndex = appendOwn(state, "start", new Uint8Array()).index;
  broadcast(state);
}

/** Starts to keep track of a member. */
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
    bytesPerSecond: state.options.catchUpBytesPerSecond(id),
  });
  state.progress.set(id, progress);
  return progress;
}

/** Puts an entry of this leader's into the log. */
function appendOwn(
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

/** Takes a command into the log, or says why not. */
export function handleProposal(
  state: RaftState,
  input: RaftInputOf<"propose">,
): void {
  if (!state.isLeader) {
    refuse(state, input.token, "notLeader");
    return;
  }
  const pending = state.log.lastIndex - state.commitIndex;
  const isFull = pending >= state.timing.pendingEntries ||
    state.pendingBytes >= state.timing.pendingBytes;
  if (isFull) {
    refuse(state, input.token, "overloaded");
    return;
  }
  const entry = appendOwn(state, "command", input.data);
  state.emit({
    kind: "proposalTaken",
    token: input.token,
    index: entry.index,
    term: entry.term,
  });
}

function refuse(
  state: RaftState,
  token: number,
  reason: "notLeader" | "overloaded",
): void {
  state.emit({ kind: "proposalRefused", token, reason });
}

/** Puts a new configuration into the log; it counts from now on. */
export function appendConfiguration(
  state: RaftState,
  configuration: GroupConfiguration,
): void {
  appendOwn(state, "configuration", encodeConfiguration(configuration));
  for (const voter of configuration.voters) {
    if (voter.id !== state.selfId && !state.progress.has(voter.id)) {
      addProgress(state, voter.id, voter.incarnation);
    }
  }
  state.event("membersChanged", {
    voters: configuration.voters.map((voter) => voter.id).join(","),
  });
  broadcast(state);
}

/** Sends every member what it lacks. */
export function broadcast(state: RaftState): void {
  for (const progress of state.progress.values()) {
    sendToMember(state, progress);
  }
}

/** Commits what enough voters keep, and tells the others. */
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
  const matchOf = (id: InstanceId) => keptIndex(state, id);
  const candidates = state.configuration.voters
    .map((voter) => matchOf(voter.id))
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
  const evidence = state.evidence((id) => keptIndex(state, id) >= index);
  return isCommitQuorum(configuration, evidence);
}

function keptIndex(state: RaftState, id: InstanceId): number {
  if (id === state.selfId) {
    return state.hasMutation("answersBeforeSync")
      ? state.log.lastIndex
      : state.persists.persistedIndex;
  }
  const progress = state.progress.get(id);
  const voter = findVoter(state.configuration, id);
  return progress?.incarnation === voter?.incarnation
    ? progress?.matchIndex ?? 0
    : 0;
}

/** Heartbeats, repeated sends, and stepping down when cut off. */
export function tickLeader(state: RaftState): void {
  if (!state.isLeader) {
    return;
  }
  if (!hasQuorumContact(state)) {
    becomeFollower(state, { term: state.term, leaderId: undefined });
    return;
  }
  for (const progress of state.progress.values()) {
    progress.rewindIfStalled(state.nowMs, state.timing.resendMs);
    sendToMember(state, progress);
  }
}

/** Asks the voter that has most to take over, and stops leading. */
export function handOver(state: RaftState): void {
  if (!state.isLeader) {
    return;
  }
  const target = state.configuration.voters
    .map((voter) => state.progress.get(voter.id))
    .filter((progress) => progress !== undefined)
    .filter((progress) => !state.isForgotten(progress.id))
    .filter((progress) => progress.matchIndex === state.log.lastIndex)
    .sort((left, right) => right.answeredSentAtMs - left.answeredSentAtMs)[0];
  if (target === undefined) {
    return;
  }
  const { id, incarnation } = target;
  const { term } = state;
  becomeFollower(state, { term, leaderId: undefined });
  state.send(id, { kind: "handOver", term }, incarnation);
}
