/**
 * Formation of a group, which happens once, from the configured members.
 *
 * Only the founder with the lowest ID forms the group, and only after every
 * founder has confirmed, in answer to the same attempt, that it has no group
 * state. A missing founder delays the group, but two groups never form. Members
 * without group state that start later join the existing group.
 *
 * @module
 */

import type { GroupConfiguration } from "./group_configuration.ts";
import { EMPTY_SNAPSHOT } from "./raft_log.ts";
import type { RaftMessageOf, Sender } from "./raft_message.ts";
import type { RaftState } from "./raft_state.ts";
import { becomeFollower } from "./role.ts";

/** Lets the founders learn of the group before the first election. */
const FIRST_ELECTION_DELAY_MS = 100;

/** Keeps the group's ID short, as every message carries it. */
const FORMATION_ID_RADIX = 36;

/** The members that form the group, lowest ID first. */
function founderIds(state: RaftState): string[] {
  const founders = state.founderIds ??
    state.options.members.filter((member) => member.isVoter)
      .map((member) => member.id);
  return [...founders].sort();
}

/**
 * Requests the founders' confirmations, if this member is to form the group.
 */
export function tickFormation(state: RaftState): void {
  const founders = founderIds(state);
  const isDue = state.isFresh && founders[0] === state.selfId &&
    state.nowMs >= state.followDueMs;
  if (!isDue) {
    return;
  }
  state.proposedFormationId ??= state.incarnation.toString(FORMATION_ID_RADIX);
  state.confirmedFounders.set(state.selfId, state.incarnation);
  for (const id of founders) {
    if (id !== state.selfId) {
      state.send(id, {
        kind: "formRequest",
        formationId: state.proposedFormationId,
        founderIds: founders,
      }, 0);
    }
  }
  formIfComplete(state);
}

/** Confirms, if this member has no group state and knows the same founders. */
export function handleFormRequest(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"formRequest">,
): void {
  const founders = founderIds(state);
  const isValidRequest = founders.join() === message.founderIds.join() &&
    founders[0] === from.id;
  if (state.isFresh && isValidRequest) {
    state.send(from.id, {
      kind: "formPledge",
      formationId: message.formationId,
    }, from.incarnation);
  }
}

/** Counts a confirmation of the current attempt. */
export function handleFormPledge(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"formPledge">,
): void {
  const isCounted = state.isFresh &&
    message.formationId === state.proposedFormationId &&
    founderIds(state).includes(from.id);
  if (isCounted) {
    const known = state.confirmedFounders.get(from.id) ?? 0;
    state.confirmedFounders.set(from.id, Math.max(known, from.incarnation));
    formIfComplete(state);
  }
}

function formIfComplete(state: RaftState): void {
  const founders = founderIds(state);
  const missing = founders.filter((id) => !state.confirmedFounders.has(id));
  const allowedMissing = state.hasMutation("formsWithoutAll")
    ? Math.floor((founders.length - 1) / 2)
    : 0;
  if (missing.length > allowedMissing) {
    return;
  }
  const configuration: GroupConfiguration = {
    voters: founders.filter((id) => state.confirmedFounders.has(id)).map((
      id,
    ) => ({
      id,
      incarnation: state.confirmedFounders.get(id)!,
      isDurable: state.findMember(id)!.isDurable,
    })),
    removedIds: [],
    isDurabilityWaived: false,
  };
  joinGroup(state, state.proposedFormationId!, configuration);
  state.emitEvent("groupFormed", { formationId: state.formationId! });
  state.electionDueMs = state.nowMs + FIRST_ELECTION_DELAY_MS;
  for (const voter of configuration.voters) {
    if (voter.id !== state.selfId) {
      state.send(
        voter.id,
        { kind: "welcome", configuration },
        voter.incarnation,
      );
    }
  }
}

/** Joins a formed group that lists this incarnation as a voter. */
export function handleWelcome(
  state: RaftState,
  formationId: string | undefined,
  message: RaftMessageOf<"welcome">,
): void {
  const isListed = message.configuration.voters.some((voter) =>
    voter.id === state.selfId && voter.incarnation === state.incarnation
  );
  if (state.isFresh && isListed && formationId !== undefined) {
    joinGroup(state, formationId, message.configuration);
  }
}

function joinGroup(
  state: RaftState,
  formationId: string,
  configuration: GroupConfiguration,
): void {
  const snapshot = { ...EMPTY_SNAPSHOT, configuration };
  state.formationId = formationId;
  state.log.reset(snapshot);
  state.persistTracker.reset(snapshot);
  state.withholdVotesUntilMs = state.steadyMs;
  becomeFollower(state, { term: state.term, leaderId: undefined });
}
