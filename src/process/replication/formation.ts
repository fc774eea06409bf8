/**
 * How a group comes into being: once, from the settings' list of members.
 *
 * Only the founder with the lowest name forms the group, and only after every
 * founder has said, in answer to this very attempt, that it holds nothing of
 * any group. A founder that is missing delays the group; two groups never
 * form. Whoever holds nothing later joins the group that there is.
 *
 * @module
 */

import type { GroupConfiguration } from "./group_configuration.ts";
import { EMPTY_SNAPSHOT } from "./raft_log.ts";
import type { RaftMessageOf, Sender } from "./raft_message.ts";
import type { RaftState } from "./raft_state.ts";
import { becomeFollower } from "./role.ts";

/** Before the first election, so that the founders hear of the group. */
const FIRST_ELECTION_MS = 100;

/** The group's identity goes with every message, so it is short. */
const FORMATION_RADIX = 36;

/** The members that form the group, lowest name first. */
function founderIds(state: RaftState): string[] {
  const { founderIds: named, members } = state.options;
  const founders = named ??
    members.filter((member) => member.isVoter).map((member) => member.id);
  return [...founders].sort();
}

/** Asks the founders for their pledges, if this member is to ask. */
export function tickFormation(state: RaftState): void {
  const founders = founderIds(state);
  const isDue = state.isFresh && founders[0] === state.selfId &&
    state.nowMs >= state.followDueMs;
  if (!isDue) {
    return;
  }
  state.pledgeFormationId ??= state.incarnation.toString(FORMATION_RADIX);
  state.pledges.set(state.selfId, state.incarnation);
  for (const id of founders) {
    if (id !== state.selfId) {
      state.send(id, {
        kind: "formRequest",
        formationId: state.pledgeFormationId,
        founderIds: founders,
      }, 0);
    }
  }
  formIfComplete(state);
}

/** Pledges, if this member holds nothing and knows the same founders. */
export function handleFormRequest(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"formRequest">,
): void {
  const founders = founderIds(state);
  const isAgreed = founders.join() === message.founderIds.join() &&
    founders[0] === from.id;
  if (state.isFresh && isAgreed) {
    state.send(from.id, {
      kind: "formPledge",
      formationId: message.formationId,
    }, from.incarnation);
  }
}

/** Counts a pledge to this very attempt. */
export function handleFormPledge(
  state: RaftState,
  from: Sender,
  message: RaftMessageOf<"formPledge">,
): void {
  const isCounted = state.isFresh &&
    message.formationId === state.pledgeFormationId &&
    founderIds(state).includes(from.id);
  if (isCounted) {
    const known = state.pledges.get(from.id) ?? 0;
    state.pledges.set(from.id, Math.max(known, from.incarnation));
    formIfComplete(state);
  }
}

function formIfComplete(state: RaftState): void {
  const founders = founderIds(state);
  const missing = founders.filter((id) => !state.pledges.has(id));
  const mayMiss = state.hasMutation("formsWithoutAll")
    ? Math.floor((founders.length - 1) / 2)
    : 0;
  if (missing.length > mayMiss) {
    return;
  }
  const configuration: GroupConfiguration = {
    voters: founders.filter((id) => state.pledges.has(id)).map((id) => ({
      id,
      incarnation: state.pledges.get(id)!,
      isDurable: state.memberOf(id)!.isDurable,
    })),
    removedIds: [],
    isDurabilityWaived: false,
  };
  enterGroup(state, state.pledgeFormationId!, configuration);
  state.event("groupFormed", { formationId: state.formationId! });
  state.electionDueMs = state.nowMs + FIRST_ELECTION_MS;
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

/** The group exists and names this incarnation as a voter: it takes part. */
export function handleWelcome(
  state: RaftState,
  formationId: string | undefined,
  message: RaftMessageOf<"welcome">,
): void {
  const isNamed = message.configuration.voters.some((voter) =>
    voter.id === state.selfId && voter.incarnation === state.incarnation
  );
  if (state.isFresh && isNamed && formationId !== undefined) {
    enterGroup(state, formationId, message.configuration);
  }
}

function enterGroup(
  state: RaftState,
  formationId: string,
  configuration: GroupConfiguration,
): void {
  const snapshot = { ...EMPTY_SNAPSHOT, configuration };
  state.formationId = formationId;
  state.log.reset(snapshot);
  state.persists.reset(snapshot);
  state.promiseEndMs = state.nowMs;
  becomeFollower(state, { term: state.term, leaderId: undefined });
}
