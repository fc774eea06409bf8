/**
 * Periods as short as those of the batch scheduler's group.
 *
 * @module
 */

export const FAST_TIMING = {
  tickMs: 25,
  heartbeatMs: 150,
  followMs: 500,
  leaderSilenceMs: 650,
  electionMinMs: 700,
  electionMaxMs: 950,
  retryMinMs: 80,
  retryMaxMs: 250,
  voterSilenceMs: 1_500,
} as const;
