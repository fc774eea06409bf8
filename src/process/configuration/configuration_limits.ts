/**
 * Limits of the configuration's state.
 *
 * @module
 */

/** Limits that every member of the group must share. */
export interface ConfigurationLimits {
  /** How long an edit's answer is kept for resent copies of it. */
  readonly editRetentionMs: number;
  /** The most edits whose answers are kept at once. */
  readonly editsLimit: number;
  /** The most of them that one team may take. */
  readonly editsPerTeamLimit: number;
  /** The most bytes of replaced section texts kept for these answers. */
  readonly replacedTextBytesLimit: number;
  /** How long accepted edits stay in the history. */
  readonly historyRetentionMs: number;
  /** The most accepted edits in the history; the oldest go first. */
  readonly historyLimit: number;
  /** The furthest that one command may move the group's time forward. */
  readonly clockStepLimitMs: number;
}

/** The limits of the product. */
export const CONFIGURATION_LIMITS: ConfigurationLimits = {
  editRetentionMs: 25 * 3_600_000,
  editsLimit: 20_000,
  editsPerTeamLimit: 5_000,
  replacedTextBytesLimit: 16 * 1_048_576,
  historyRetentionMs: 7 * 86_400_000,
  historyLimit: 20_000,
  clockStepLimitMs: 3_600_000,
};
