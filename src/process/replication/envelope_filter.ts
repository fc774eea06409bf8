/**
 * Which messages a member listens to, and what their incarnations tell.
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
 * Remembers that a voter's state is gone. A leader counts on others' loss of
 * memory only if no other leader can have been among them.
 */
export function noteForgotten(
  state: RaftState,
  id: InstanceId,
  incarnation: number,
): void {
  if ((state.forgotten.get(id) ?? -1) < incarnation) {
    if (state.isLeader && state.nowMs >= leaseEndMs(state)) {
      becomeFollower(state, { term: state.term, leaderId: undefined });
    }
    state.forgotten.set(id, incarnation);
    state.event("voterForgotten", { member: id });
  }
}

/** Drops what isn't meant for this member as it is now. */
export function isForThisMember(
  state: RaftState,
  from: InstanceId,
  envelope: RaftEnvelope,
): boolean {
  const isAddressed = envelope.toIncarnation === 0 ||
    envelope.toIncarnation === state.incarnation;
  if (!isAddressed || state.memberOf(from) === undefined) {
    return false;
  }
  return isOfThisGroup(state, from, envelope) &&
    isFromLatest(state, from, envelope);
}

const GROUPLESS_KINDS: ReadonlySet<RaftMessage["kind"]> = new Set([
  "voteReply",
  "follow",
  "formRequest",
  "formPledge",
]);

/** What tells nothing about the group to a member that holds nothing. */
const ASKING_KINDS: ReadonlySet<RaftMessage["kind"]> = new Set([
  "preVote",
  "vote",
]);

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
    return ASKING_KINDS.has(message.kind) ||
      (JOINING_KINDS.has(message.kind) && envelope.toIncarnation !== 0);
  }
  if (formationId !== state.formationId) {
    state.event("foreignGroupRefused", { peer: from, formationId });
    return false;
  }
  return true;
}

/** Notices that a voter has lost its state, or that a message is old. */
function isFromLatest(
  state: RaftState,
  from: InstanceId,
  envelope: RaftEnvelope,
): boolean {
  const voter = findVoter(state.configuration, from);
  if (voter === undefined) {
    return true;
  }
  if (envelope.fromIncarnation > voter.incarnation) {
    noteForgotten(state, from, voter.incarnation);
  }
  return envelope.fromIncarnation >= voter.incarnation ||
    envelope.message.kind === "follow";
}
