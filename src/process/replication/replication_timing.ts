/**
 * Periods and limits of replication.
 *
 * @module
 */

/**
 * The most by which two instances' clocks may run apart, as a fraction. The
 * monotonic clock of an ordinary machine is within 0.05 %, and NTP slews by
 * at most 0.05 % more; 1 % leaves room for a virtual machine's worst.
 */
export const MAX_CLOCK_DRIFT = 0.01;

/** The longest encoded command, in bytes: it must fit into one frame. */
export const COMMAND_LIMIT_BYTES = 2 * 1024 * 1024;

/** Every period and limit, with its default. */
export const REPLICATION_TIMING = {
  /** How often the core looks at its deadlines. */
  tickMs: 50,
  /** Between two heartbeats of a leader to a voter. */
  heartbeatMs: 500,
  /** Between two questions of a member without a vote. */
  followMs: 1_000,
  /** A follower gives no vote for this long after its leader's message. */
  leaderSilenceMs: 1_300,
  /** When a silent leader is first and last given up. */
  electionMinMs: 1_400,
  electionMaxMs: 1_800,
  /** Before a candidate without a result tries again. */
  retryMinMs: 150,
  retryMaxMs: 450,
  /** How long no durable voter may answer before commits go on without. */
  durableGraceMs: 2_000,
  /** Without a reply for this long, entries are sent again. */
  resendMs: 600,
  /** Entries in one message, about, in bytes. */
  appendBytes: 128 * 1024,
  /** Snapshot bytes in one message. */
  chunkBytes: 32 * 1024,
  /** Entries after the snapshot before the next one is made. */
  snapshotEntries: 4_096,
  /** The same in bytes. */
  snapshotBytes: 2 * 1024 * 1024,
  /** Applied entries kept in memory for slow followers. */
  tailEntries: 512,
  /** Commands that may await their commit at the leader. */
  pendingEntries: 4_096,
  /** The same in bytes, about. */
  pendingBytes: 16 * 1024 * 1024,
} as const;

/** Every period and limit. */
export type ReplicationTiming = {
  readonly [Name in keyof typeof REPLICATION_TIMING]: number;
};

/**
 * How long a leader may act alone after it sent the messages that a majority
 * answered. A follower keeps its promise for `leaderSilenceMs` of a clock
 * that may run fast, the leader counts with one that may run slow.
 */
export function leaseMs(timing: ReplicationTiming): number {
  return timing.leaderSilenceMs * (1 - MAX_CLOCK_DRIFT) /
    (1 + MAX_CLOCK_DRIFT);
}
