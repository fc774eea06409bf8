/**
 * Membership changes: one at a time, each with an entry of its own.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import {
  findVoter,
  type GroupConfiguration,
  isCommitQuorum,
  REMOVED_LIMIT,
  type Voter,
} from "./group_configuration.ts";
import { appendConfiguration } from "./leader.ts";
import type { LeaderProgress } from "./leader_progress.ts";
import { confirmedAtMs } from "./lease.ts";
import type { RaftState } from "./raft_state.ts";

/** Whether a membership change may start. */
export function canChangeMembers(state: RaftState): boolean {
  return state.isLeader && state.commitIndex >= state.termStartIndex &&
    state.log.configurationIndex <= state.commitIndex;
}

/** Starts the most urgent membership change, if one is needed. */
export function reconcileMembers(state: RaftState): void {
  if (!canChangeMembers(state)) {
    waiveDurability(state);
    return;
  }
  const { voters } = state.configuration;
  const lostVoter = voters.find((voter) => state.hasLostState(voter.id));
  if (lostVoter !== undefined) {
    changeVoters(state, voters.filter((voter) => voter !== lostVoter));
    return;
  }
  const { wantedVoters = Infinity } = state.options;
  const readyMember = voters.length < wantedVoters
    ? [...state.progress.values()].find((progress) =>
      isReadyToVote(state, progress)
    )
    : undefined;
  if (readyMember !== undefined) {
    promoteToVoter(state, readyMember);
    return;
  }
  waiveDurability(state);
  restoreDurability(state);
}

function changeVoters(state: RaftState, voters: Voter[]): void {
  appendConfiguration(state, { ...state.configuration, voters });
}

function promoteToVoter(state: RaftState, progress: LeaderProgress): void {
  const { id, incarnation, isDurable } = progress;
  const { voters } = state.configuration;
  changeVoters(state, [...voters, { id, incarnation, isDurable }]);
}

function isReadyToVote(state: RaftState, progress: LeaderProgress): boolean {
  const { configuration } = state;
  return progress.wantsVote &&
    state.findMember(progress.id)?.isVoter === true &&
    findVoter(configuration, progress.id) === undefined &&
    !configuration.removedIds.includes(progress.id) &&
    state.nowMs - progress.lastHeardMs < state.timing.followMs * 2 &&
    progress.matchIndex >= state.commitIndex;
}

/** Waives the need for a durable voter after none has answered for a while. */
function waiveDurability(state: RaftState): void {
  const { configuration } = state;
  const silentMs = state.nowMs - state.lastDurableReplyMs;
  const isMissing = state.isLeader && !configuration.isDurabilityWaived &&
    durableVoters(configuration).length > 0 &&
    findVoter(configuration, state.selfId)?.isDurable !== true &&
    silentMs >= state.timing.durableGraceMs &&
    state.nowMs - confirmedAtMs(state) < state.timing.heartbeatMs * 2;
  if (isMissing) {
    appendConfiguration(state, { ...configuration, isDurabilityWaived: true });
    state.emitEvent("durabilityWaived");
  }
}

/** Requires a durable voter again once one stores all committed entries. */
function restoreDurability(state: RaftState): void {
  const { configuration } = state;
  const isRestored = configuration.isDurabilityWaived &&
    durableVoters(configuration).some((voter) =>
      voter.id === state.selfId ||
      (state.progress.get(voter.id)?.matchIndex ?? 0) >= state.commitIndex
    );
  if (isRestored) {
    appendConfiguration(state, { ...configuration, isDurabilityWaived: false });
    state.emitEvent("durabilityRestored");
  }
}

function durableVoters(configuration: GroupConfiguration): Voter[] {
  return configuration.voters.filter((voter) => voter.isDurable);
}

/** Whether the voters that answer suffice to commit under the configuration. */
function canCommitUnder(
  state: RaftState,
  configuration: GroupConfiguration,
): boolean {
  const hasReplied = (id: InstanceId) =>
    id === state.selfId || hasRepliedRecently(state, id);
  return isCommitQuorum(configuration, state.evidence(hasReplied));
}

function hasRepliedRecently(state: RaftState, id: InstanceId): boolean {
  const progress = state.progress.get(id);
  return progress !== undefined && !state.hasLostState(id) &&
    state.nowMs - progress.answeredSentAtMs < state.timing.electionMaxMs;
}

/**
 * Removes a member, which stays a learner until it is added again; returns
 * false if it can't be removed now.
 */
export function removeMember(state: RaftState, id: InstanceId): boolean {
  const { configuration } = state;
  if (configuration.removedIds.includes(id)) {
    return true;
  }
  const changed: GroupConfiguration = {
    ...configuration,
    voters: configuration.voters.filter((voter) => voter.id !== id),
    // The oldest removal is forgotten: configurations have a limit.
    removedIds: [...configuration.removedIds, id].slice(-REMOVED_LIMIT),
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
 * Makes a member a voter if it has caught up, even beyond the target number of
 * voters. If the member was removed, only reverts the removal; a later call can
 * make it a voter. Returns false if the voters can't be changed now.
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
    promoteToVoter(state, progress);
  }
  return true;
}
