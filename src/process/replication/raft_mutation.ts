/**
 * Deliberate faults (mutations), with which tests show that they detect them.
 *
 * @module
 * @internal
 */

/** Faults that a test can inject into a member. */
export const RaftMutation = {
  /** Votes and acknowledgements are sent before they are synced. */
  answersBeforeSync: "answersBeforeSync",
  /** A member that lost its state keeps its old incarnation. */
  lostMemberKeepsIncarnation: "lostMemberKeepsIncarnation",
  /** The lease outlasts the time for which followers withhold their votes. */
  leaseTooLong: "leaseTooLong",
  /** Followers vote although they heard from their leader recently. */
  votesDespiteLeader: "votesDespiteLeader",
  /** Members report that they know of no leader while they follow one. */
  deniesKnownLeader: "deniesKnownLeader",
  /** Members that are willing to vote in a term may lead in an earlier one. */
  staysInEarlierTerm: "staysInEarlierTerm",
  /** A restarted voter doesn't withhold its vote. */
  votesRightAfterRestart: "votesRightAfterRestart",
  /**
   * Entries of earlier terms are committed by counting the voters that store
   * them.
   */
  commitsEarlierTerms: "commitsEarlierTerms",
  /** Votes are granted to candidates with an older log. */
  votesForOlderLog: "votesForOlderLog",
  /** Commits don't require a durable voter. */
  commitsWithoutDurable: "commitsWithoutDurable",
  /** A group is formed without a confirmation from every founder. */
  formsWithoutAll: "formsWithoutAll",
  /** Several membership changes run at once. */
  changesOverlap: "changesOverlap",
  /** A follower considers its copy current as of the receipt of a heartbeat. */
  currentAtReceipt: "currentAtReceipt",
  /** A member that loads its log again doesn't know whom it voted for. */
  forgetsVoteAtDiskFault: "forgetsVoteAtDiskFault",
  /** A member doesn't connect to a leader that another one names. */
  ignoresNamedLeader: "ignoresNamedLeader",
  /** A member that refuses a pre-vote doesn't name its leader. */
  hidesLeaderFromCandidates: "hidesLeaderFromCandidates",
  /** A member has caught up only while it stores all that is committed. */
  readyAtCommitOnly: "readyAtCommitOnly",
  /** A silent voter is replaced after three times the time. */
  replacesSlowly: "replacesSlowly",
} as const;

/** One of the values of {@link RaftMutation}. */
export type RaftMutation = typeof RaftMutation[keyof typeof RaftMutation];
