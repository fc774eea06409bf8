/**
 * Deliberate faults, by which tests show that they would notice them.
 *
 * @module
 * @internal
 */

/** Faults that a test may put into a member. */
export const RaftMutation = {
  /** Votes and acknowledgements leave before they are synced. */
  answersBeforeSync: "answersBeforeSync",
  /** A member that lost its state keeps its old incarnation. */
  forgottenMemberVotes: "forgottenMemberVotes",
  /** The lease lasts longer than the followers' promise. */
  leaseTooLong: "leaseTooLong",
  /** Followers vote although their leader is not silent. */
  promiseBroken: "promiseBroken",
  /** Members say that they know of no leader though they follow one. */
  leaderDenied: "leaderDenied",
  /** Members that are willing to vote in a term may lead in an earlier one. */
  staysInEarlierTerm: "staysInEarlierTerm",
  /** A restarted voter forgets its promise. */
  promiseForgottenOnRestart: "promiseForgottenOnRestart",
  /** Entries of earlier terms are committed by counting. */
  commitsEarlierTerms: "commitsEarlierTerms",
  /** Votes go to candidates with an older log. */
  votesForOlderLog: "votesForOlderLog",
  /** Commits need no durable voter. */
  commitsWithoutDurable: "commitsWithoutDurable",
  /** A group is formed though not every founder pledged. */
  formsWithoutAll: "formsWithoutAll",
  /** Several membership changes run at once. */
  changesOverlap: "changesOverlap",
  /** A follower takes the receipt of a heartbeat as the current moment. */
  currentAtReceipt: "currentAtReceipt",
} as const;

/** One of the values of {@link RaftMutation}. */
export type RaftMutation = typeof RaftMutation[keyof typeof RaftMutation];
