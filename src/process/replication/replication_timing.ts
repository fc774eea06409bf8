/**
 * Periods and limits of replication.
 *
 * @module
 */

/**
 * The largest deviation of an instance's clock rate, as a fraction. The
 * monotonic clock of an ordinary machine is within 0.05 %, and NTP slews by at
 * most 0.05 % more; 1 % leaves a margin for virtual machines.
 */
export const MAX_CLOCK_DRIFT = 0.01;

/** The longest encoded command, in bytes: it must fit into one frame. */
export const COMMAND_LIMIT_BYTES = 2 * 1024 * 1024;

/** The default periods and limits. */
export const REPLICATION_TIMING = {
  /** How often the core checks its deadlines. */
  tickMs: 50,
  /** The interval of a leader's heartbeats to a voter. */
  heartbeatMs: 500,
  /** The interval of a learner's `follow` messages. */
  followMs: 1_000,
  /**
   * A follower grants no vote for this long after a message from its leader.
   */
  leaderSilenceMs: 1_300,
  /**
   * The bounds of the random time without a message from the leader after which
   * a follower starts an election.
   */
  electionMinMs: 1_400,
  electionMaxMs: 1_800,
  /** The bounds of the random time after which a candidate tries again. */
  retryMinMs: 150,
  retryMaxMs: 450,
  /**
   * A voter from which its leader hears nothing for longer is replaced, if a
   * member without a vote is ready to; by default it never is.
   */
  voterSilenceMs: Infinity,
  /** Without a reply from a durable voter for this long, commits need none. */
  durableGraceMs: 2_000,
  /** A leader whose disk takes longer for a write hands over. */
  diskTimeoutMs: 1_000,
  /** Without a reply for this long, entries are sent again. */
  resendMs: 600,
  /** The approximate size of the entries in one message. */
  appendBytes: 128 * 1024,
  /** The snapshot bytes in one message. */
  chunkBytes: 32 * 1024,
  /** The entries applied after a snapshot before the next one is taken. */
  snapshotEntries: 4_096,
  /** The same limit in bytes. */
  snapshotBytes: 2 * 1024 * 1024,
  /** Entries before the snapshot kept in memory for slow followers. */
  tailEntries: 512,
  /** The uncommitted entries above which a leader rejects commands. */
  pendingEntries: 4_096,
  /** The same limit in bytes, approximately. */
  pendingBytes: 16 * 1024 * 1024,
} as const;

/** The periods and limits of replication. */
export type ReplicationTiming = {
  readonly [Name in keyof typeof REPLICATION_TIMING]: number;
};

/**
 * The length of a leader's lease from the time at which it sent the messages
 * that a majority answered. A follower withholds its vote for `leaderSilenceMs`
 * by a clock that may run fast; the leader's own clock may run slow.
 */
export function leaseMs(timing: ReplicationTiming): number {
  return timing.leaderSilenceMs * (1 - MAX_CLOCK_DRIFT) /
    (1 + MAX_CLOCK_DRIFT);
}
