/**
 * Who votes in a group, and which sets of voters decide.
 *
 * A voter is a member together with its incarnation: a member that lost its
 * state comes back under a higher incarnation, and what it says then never
 * counts for the voter that it was.
 *
 * @module
 */

import * as z from "zod";
import { IDENTITY_PATTERN, type InstanceId } from "../../base/identity.ts";

/** The most voters that one group may have. */
export const VOTERS_LIMIT = 15;

const identity = z.string().regex(IDENTITY_PATTERN);

const voterSchema = z.strictObject({
  id: identity,
  incarnation: z.int().min(0),
  /** Whether it keeps its log on a disk. */
  isDurable: z.boolean(),
});

/** Validates a {@link GroupConfiguration}. */
export const groupConfigurationSchema = z.strictObject({
  voters: z.array(voterSchema).max(VOTERS_LIMIT),
  /** Members that operators took out; they follow, but get no vote. */
  removedIds: z.array(identity).max(64),
  /** Whether commits go on though no durable voter can be reached. */
  isDurabilityWaived: z.boolean(),
});

/** One voter of a group. */
export type Voter = z.infer<typeof voterSchema>;

/** The voters of a group, as replicated in its log. */
export type GroupConfiguration = z.infer<typeof groupConfigurationSchema>;

/** The configuration of a member that knows of no group yet. */
export const EMPTY_CONFIGURATION: GroupConfiguration = {
  voters: [],
  removedIds: [],
  isDurabilityWaived: false,
};

/** What is known of the voters when a quorum is looked for. */
export interface VoterEvidence {
  /** Whether the voter granted, or acknowledged. */
  readonly hasAgreed: (id: InstanceId) => boolean;
  /** Whether the voter's state is proved to be gone. */
  readonly isForgotten: (id: InstanceId) => boolean;
  /** Whether an operator takes the loss of what only this voter kept. */
  readonly isDeclaredLost: (id: InstanceId) => boolean;
}

/** The voter of that name, if it is one. */
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
 * Whether a candidate with these votes leads: by a majority; or because
 * everyone who might vote has answered this very election, and all that
 * still remember anything agreed while no durable voter has forgotten or
 * half of the voters remember. The second lets a group go on after a restart
 * of all its members, and one of two voters after the other lost its disk:
 * whatever a majority kept, one voter of any half keeps too.
 */
export function isElectionQuorum(
  configuration: GroupConfiguration,
  known: { evidence: VoterEvidence; electorateIds: readonly InstanceId[] },
): boolean {
  const { evidence, electorateIds } = known;
  const isHalf = isHalfAgreed(configuration, evidence);
  const isAccepted = (id: InstanceId) =>
    evidence.isDeclaredLost(id) ||
    (evidence.isForgotten(id) &&
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
 * Whether entries that these voters keep are committed: a majority, and one
 * of the voters is durable while there is one that can be reached. Or all
 * that remember anything: a leader has all that was ever committed, so that
 * nothing is lost with those who forgot while it leads.
 */
export function isCommitQuorum(
  configuration: GroupConfiguration,
  evidence: VoterEvidence,
): boolean {
  const { voters } = configuration;
  const isAllThatRemember =
    voters.some((voter) => evidence.hasAgreed(voter.id)) &&
    voters.every((voter) =>
      evidence.hasAgreed(voter.id) || evidence.isForgotten(voter.id)
    );
  return isAllThatRemember ||
    (isMajority(configuration, evidence) &&
      isDurablyKept(configuration, evidence));
}

function isDurablyKept(
  configuration: GroupConfiguration,
  evidence: VoterEvidence,
): boolean {
  const durable = configuration.voters.filter((voter) =>
    voter.isDurable && !evidence.isForgotten(voter.id)
  );
  return configuration.isDurabilityWaived || durable.length === 0 ||
    durable.some((voter) => evidence.hasAgreed(voter.id));
}

/**
 * The greatest value that a majority of the voters has reached, given the
 * value of each; below every value when there are no voters.
 */
export function majorityValue(
  configuration: GroupConfiguration,
  valueOf: (id: InstanceId) => number,
): number {
  const values = configuration.voters.map((voter) => valueOf(voter.id))
    .sort((left, right) => right - left);
  return values[Math.floor(values.length / 2)] ?? -Infinity;
}
