/**
 * Which messages a member accepts, and what the senders' incarnations reveal.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import { findVoter } from "./group_configuration.ts";
import { leaseEndMs } from "./lease.ts";
import type { RaftEnvelope, RaftMessage } from "./raft_message.ts";
import type { RaftState } from "./raft_state.ts";
import { becomeFollower } from "./role.ts";

/**
 * Records that a voter lost its state. A leader whose lease has ended steps
 * down first: voters may have elected another leader before they lost their
 * state, so their loss must not count towards a quorum of this one.
 */
export function markStateLost(
  state: RaftState,
  id: InstanceId,
  incarnation: number,
): void {
  if ((state.lostIncarnations.get(id) ?? -1) < incarnation) {
    if (state.isLeader && state.nowMs >= leaseEndMs(state)) {
      becomeFollower(state, { term: state.term, leaderId: undefined });
    }
    state.lostIncarnations.set(id, incarnation);
    state.emitEvent("voterForgotten", { member: id });
  }
}

/**
 * Whether a message is meant for the current incarnation of this member, and
 * valid for its group.
 */
export function isForThisMember(
  state: RaftState,
  from: InstanceId,
  envelope: RaftEnvelope,
): boolean {
  const isAddressed = envelope.toIncarnation === 0 ||
    envelope.toIncarnation === state.incarnation;
  if (!isAddressed || state.findMember(from) === undefined) {
    return false;
  }
  return isOfThisGroup(state, from, envelope) &&
    isFromCurrentIncarnation(state, from, envelope);
}

/** Messages that members without group state may send. */
const GROUPLESS_KINDS: ReadonlySet<RaftMessage["kind"]> = new Set([
  "voteReply",
  "follow",
  "formRequest",
  "formPledge",
]);

/**
 * Messages that a member without group state accepts even if they are addressed
 * to any incarnation, as they reveal nothing about the group.
 */
const VOTE_REQUEST_KINDS: ReadonlySet<RaftMessage["kind"]> = new Set([
  "preVote",
  "vote",
]);

/**
 * Messages that a member without group state accepts only if addressed to its
 * own incarnation.
 */
const JOINING_KINDS: ReadonlySet<RaftMessage["kind"]> = new Set([
  "append",
  "snapshotChunk",
  "redirect",
  "welcome",
]);

function isOfThisGroup(
  state: RaftState,
  from: InstanceId,
  envelope: RaftEnvelope,
): boolean {
  const { formationId, message } = envelope;
  if (formationId === undefined) {
    return GROUPLESS_KINDS.has(message.kind);
  }
  if (state.formationId === undefined) {
    return VOTE_REQUEST_KINDS.has(message.kind) ||
      (JOINING_KINDS.has(message.kind) && envelope.toIncarnation !== 0);
  }
  if (formationId !== state.formationId) {
    state.emitEvent("foreignGroupRefused", { peer: from, formationId });
    return false;
  }
  return true;
}

/**
 * Rejects messages from outdated incarnations of voters, except `follow`, which
 * is answered with the incarnation to exceed. A newer incarnation shows that the
 * voter lost its state.
 */
function isFromCurrentIncarnation(
  state: RaftState,
  from: InstanceId,
  envelope: RaftEnvelope,
): boolean {
  const voter = findVoter(state.configuration, from);
  if (voter === undefined) {
    return true;
  }
  if (envelope.fromIncarnation > voter.incarnation) {
    markStateLost(state, from, voter.incarnation);
  }
  return envelope.fromIncarnation >= voter.incarnation ||
    envelope.message.kind === "follow";
}
