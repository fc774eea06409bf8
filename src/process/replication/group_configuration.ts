/**
 * The voters of a group, and which sets of voters are quorums.
 *
 * A voter is a member together with its incarnation: a member that lost its
 * state comes back under a higher incarnation, whose messages never count as
 * those of the voter that it was.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN, type InstanceId } from "../../base/identity.ts";

/** The most voters that one group may have. */
export const VOTERS_LIMIT = 15;

/** The most removed members that one group may keep. */
export const REMOVED_LIMIT = 64;

const identity = z.string().regex(IDENTITY_PATTERN);

const voterSchema = z.strictObject({
  id: identity,
  incarnation: z.int().min(0),
  /** Whether it stores its log on a disk. */
  isDurable: z.boolean(),
});

/** Validates a {@link GroupConfiguration}. */
export const groupConfigurationSchema = z.strictObject({
  voters: z.array(voterSchema).max(VOTERS_LIMIT),
  /** Removed members: they stay learners until they are added again. */
  removedIds: z.array(identity).max(REMOVED_LIMIT),
  /** Whether commits don't need a durable voter, as none can be reached. */
  isDurabilityWaived: z.boolean(),
});

/** One voter of a group. */
export type Voter = z.infer<typeof voterSchema>;

/** The voters of a group, as replicated in its log. */
export type GroupConfiguration = z.infer<typeof groupConfigurationSchema>;

/** The configuration of a member without group state. */
export const EMPTY_CONFIGURATION: GroupConfiguration = {
  voters: [],
  removedIds: [],
  isDurabilityWaived: false,
};

/** What is known about the voters when a quorum is checked. */
export interface VoterEvidence {
  /** Whether the voter granted its vote, or acknowledged an entry. */
  readonly hasAgreed: (id: InstanceId) => boolean;
  /** Whether the voter has provably lost its state. */
  readonly hasLostState: (id: InstanceId) => boolean;
  /** Whether an operator accepts the loss of what only this voter stored. */
  readonly isDeclaredLost: (id: InstanceId) => boolean;
}

/** The voter with this ID, if there is one. */
export function findVoter(
  configuration: GroupConfiguration,
  id: InstanceId,
): Voter | undefined {
  return configuration.voters.find((voter) => voter.id === id);
}

/** Whether more than half of the voters agreed. */
export function isMajority(
  configuration: GroupConfiguration,
  evidence: VoterEvidence,
): boolean {
  const agreed = configuration.voters.filter((voter) =>
    evidence.hasAgreed(voter.id)
  );
  return agreed.length * 2 > configuration.voters.length;
}

/**
 * Whether a candidate with these votes is elected. Either a majority agreed; or
 * everyone who might vote has answered this election and all that still have
 * their state agreed, while no durable voter has lost its state or at least
 * half of the voters agreed. The second case lets a group continue after a
 * restart of all its members, and lets one of two voters continue after the
 * other lost its disk: what a majority stored, at least one voter of any half
 * stores too.
 * Members that an operator declared lost needn't answer.
 */
export function isElectionQuorum(
  configuration: GroupConfiguration,
  known: { evidence: VoterEvidence; electorateIds: readonly InstanceId[] },
): boolean {
  const { evidence, electorateIds } = known;
  const isHalf = isHalfAgreed(configuration, evidence);
  const isAccepted = (id: InstanceId) =>
    evidence.isDeclaredLost(id) ||
    (evidence.hasLostState(id) &&
      (isHalf || findVoter(configuration, id)?.isDurable !== true));
  return isMajority(configuration, evidence) ||
    (configuration.voters.some((voter) => evidence.hasAgreed(voter.id)) &&
      electorateIds.every((id) => evidence.hasAgreed(id) || isAccepted(id)));
}

/** Whether at least half of the voters agreed. */
function isHalfAgreed(
  configuration: GroupConfiguration,
  evidence: VoterEvidence,
): boolean {
  const agreed = configuration.voters.filter((voter) =>
    evidence.hasAgreed(voter.id)
  );
  return agreed.length > 0 && agreed.length * 2 >= configuration.voters.length;
}

/**
 * Whether entries that these voters store are committed. Either a majority
 * stores them, including a durable voter if one still has its state and
 * durability isn't waived; or all voters store them that still have their
 * state. The second case is safe as a leader has all committed entries: while
 * it leads, nothing is lost with the voters that lost their state.
 */
export function isCommitQuorum(
  configuration: GroupConfiguration,
  evidence: VoterEvidence,
): boolean {
  const { voters } = configuration;
  const isAllWithState = voters.some((voter) => evidence.hasAgreed(voter.id)) &&
    voters.every((voter) =>
      evidence.hasAgreed(voter.id) || evidence.hasLostState(voter.id)
    );
  return isAllWithState ||
    (isMajority(configuration, evidence) &&
      isDurablyStored(configuration, evidence));
}

function isDurablyStored(
  configuration: GroupConfiguration,
  evidence: VoterEvidence,
): boolean {
  const durable = configuration.voters.filter((voter) =>
    voter.isDurable && !evidence.hasLostState(voter.id)
  );
  return configuration.isDurabilityWaived || durable.length === 0 ||
    durable.some((voter) => evidence.hasAgreed(voter.id));
}

/**
 * The greatest value that a majority of the voters has reached, given the value
 * of each; -Infinity without voters.
 */
export function majorityValue(
  configuration: GroupConfiguration,
  valueOf: (id: InstanceId) => number,
): number {
  const values = configuration.voters.map((voter) => valueOf(voter.id))
    .sort((left, right) => right - left);
  return values[Math.floor(values.length / 2)] ?? -Infinity;
}
