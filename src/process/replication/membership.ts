/**
 * Changes of a group's voters: one at a time, each by an entry of its own.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import {
  findVoter,
  type GroupConfiguration,
  isCommitQuorum,
  type Voter,
} from "./group_configuration.ts";
import { appendConfiguration } from "./leader.ts";
import type { LeaderProgress } from "./leader_progress.ts";
import { confirmedAtMs } from "./lease.ts";
import type { RaftState } from "./raft_state.ts";

/** Whether a change of the voters may begin. */
export function canChangeMembers(state: RaftState): boolean {
  return state.isLeader && state.commitIndex >= state.termStartIndex &&
    state.log.configurationIndex <= state.commitIndex;
}

/** Begins the change that is most needed, if one is. */
export function reconcileMembers(state: RaftState): void {
  if (!canChangeMembers(state)) {
    waiveDurability(state);
    return;
  }
  const { voters } = state.configuration;
  const gone = voters.find((voter) => state.isForgotten(voter.id));
  if (gone !== undefined) {
    changeVoters(state, voters.filter((voter) => voter !== gone));
    return;
  }
  const { wantedVoters = Infinity } = state.options;
  const ready = voters.length < wantedVoters
    ? [...state.progress.values()].find((progress) =>
      isReadyToVote(state, progress)
    )
    : undefined;
  if (ready !== undefined) {
    giveVote(state, ready);
    return;
  }
  waiveDurability(state);
  restoreDurability(state);
}

function changeVoters(state: RaftState, voters: Voter[]): void {
  appendConfiguration(state, { ...state.configuration, voters });
}

function giveVote(state: RaftState, progress: LeaderProgress): void {
  const { id, incarnation, isDurable } = progress;
  const { voters } = state.configuration;
  changeVoters(state, [...voters, { id, incarnation, isDurable }]);
}

function isReadyToVote(state: RaftState, progress: LeaderProgress): boolean {
  const { configuration } = state;
  return progress.wantsVote &&
    state.memberOf(progress.id)?.isVoter === true &&
    findVoter(configuration, progress.id) === undefined &&
    !configuration.removedIds.includes(progress.id) &&
    state.nowMs - progress.lastHeardMs < state.timing.followMs * 2 &&
    progress.matchIndex >= state.commitIndex;
}

/** Goes on without a durable voter after a while, and says so. */
function waiveDurability(state: RaftState): void {
  const { configuration } = state;
  const silentMs = state.nowMs - state.durableSeenMs;
  const isMissing = state.isLeader && !configuration.isDurabilityWaived &&
    durableVoters(configuration).length > 0 &&
    findVoter(configuration, state.selfId)?.isDurable !== true &&
    silentMs >= state.timing.durableGraceMs &&
    state.nowMs - confirmedAtMs(state) < state.timing.heartbeatMs * 2;
  if (isMissing) {
    appendConfiguration(state, { ...configuration, isDurabilityWaived: true });
    state.event("durabilityWaived");
  }
}

/** Asks for a durable voter again once one keeps all that is committed. */
function restoreDurability(state: RaftState): void {
  const { configuration } = state;
  const isBack = configuration.isDurabilityWaived &&
    durableVoters(configuration).some((voter) =>
      voter.id === state.selfId ||
      (state.progress.get(voter.id)?.matchIndex ?? 0) >= state.commitIndex
    );
  if (isBack) {
    appendConfiguration(state, { ...configuration, isDurabilityWaived: false });
    state.event("durabilityRestored");
  }
}

function durableVoters(configuration: GroupConfiguration): Voter[] {
  return configuration.voters.filter((voter) => voter.isDurable);
}

/** Whether the voters that answer suffice for the configuration. */
function canCommitUnder(
  state: RaftState,
  configuration: GroupConfiguration,
): boolean {
  const answers = (id: InstanceId) =>
    id === state.selfId || isHeardFrom(state, id);
  return isCommitQuorum(configuration, state.evidence(answers));
}

function isHeardFrom(state: RaftState, id: InstanceId): boolean {
  const progress = state.progress.get(id);
  return progress !== undefined && !state.isForgotten(id) &&
    state.nowMs - progress.answeredSentAtMs < state.timing.electionMaxMs;
}

/** An operator takes a member out for good; false when it can't be now. */
export function removeMember(state: RaftState, id: InstanceId): boolean {
  const { configuration } = state;
  if (configuration.removedIds.includes(id)) {
    return true;
  }
  const changed: GroupConfiguration = {
    ...configuration,
    voters: configuration.voters.filter((voter) => voter.id !== id),
    removedIds: [...configuration.removedIds, id],
  };
  const mayChange = canChangeMembers(state) ||
    (state.isLeader && state.hasMutation("changesOverlap"));
  if (!mayChange || !canCommitUnder(state, changed)) {
    return false;
  }
  appendConfiguration(state, changed);
  return true;
}

/**
 * A member is let in to vote, also beyond the wanted number, and if it was
 * removed before; it votes once it has caught up.
 */
export function addMember(state: RaftState, id: InstanceId): boolean {
  const { configuration } = state;
  if (!canChangeMembers(state)) {
    return false;
  }
  if (configuration.removedIds.includes(id)) {
    appendConfiguration(state, {
      ...configuration,
      removedIds: configuration.removedIds.filter((removed) => removed !== id),
    });
    return true;
  }
  const progress = state.progress.get(id);
  if (progress !== undefined && isReadyToVote(state, progress)) {
    giveVote(state, progress);
  }
  return true;
}
