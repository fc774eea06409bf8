/**
 * Limits of the configuration's state.
 *
 * @module
 */

import { DOCUMENT_LIMIT_BYTES } from "../../version/document/parse_document.ts";

/** Limits that every member of the group must share. */
export interface ConfigurationLimits {
  /** The most bytes of all sections' texts. */
  readonly documentBytesLimit: number;
  /** How long an edit's answer is kept for resent copies of it. */
  readonly editRetentionMs: number;
  /** The most edits whose answers are kept at once. */
  readonly editsLimit: number;
  /** The most of them that one team may take. */
  readonly editsPerTeamLimit: number;
  /** How many a team may have even when the rest is taken. */
  readonly editsPerTeamReserve: number;
  /** The most bytes of replaced section texts kept for these answers. */
  readonly replacedBytesLimit: number;
  /** The most of them that one team may take. */
  readonly replacedBytesPerTeamLimit: number;
  /** How many a team may have even when the rest is taken. */
  readonly replacedBytesPerTeamReserve: number;
  /** How long accepted edits stay in the history. */
  readonly historyRetentionMs: number;
  /** The most accepted edits in the history; the oldest go first. */
  readonly historyLimit: number;
  /** The furthest that one command may move the group's time forward. */
  readonly clockStepLimitMs: number;
}

/** The limits of the product. */
export const CONFIGURATION_LIMITS: ConfigurationLimits = {
  documentBytesLimit: DOCUMENT_LIMIT_BYTES,
  editRetentionMs: 25 * 3_600_000,
  editsLimit: 20_000,
  editsPerTeamLimit: 5_000,
  editsPerTeamReserve: 100,
  replacedBytesLimit: 16 * 1_048_576,
  replacedBytesPerTeamLimit: 4 * 1_048_576,
  replacedBytesPerTeamReserve: 131_072,
  historyRetentionMs: 7 * 86_400_000,
  historyLimit: 20_000,
  clockStepLimitMs: 3_600_000,
};

/** Whether a team that holds `own` of `total` may take more. */
export function hasRoom(
  held: { readonly own: number; readonly total: number },
  limits: {
    readonly limit: number;
    readonly perTeamLimit: number;
    readonly perTeamReserve: number;
  },
): boolean {
  const { own, total } = held;
  return own < limits.perTeamReserve ||
    (own < limits.perTeamLimit && total < limits.limit);
}
