/**
 * Limits on the size of the configuration's replicated state.
 *
 * @module
 */

import { DOCUMENT_LIMIT_BYTES } from "../../version/document/parse_document.ts";

/** Limits; they must be the same on every member of the group. */
export interface ConfigurationLimits {
  /** Maximum bytes of all sections' texts together. */
  readonly documentBytesLimit: number;
  /** How long an edit's outcome is kept, to answer resent copies of it. */
  readonly editRetentionMs: number;
  /** Maximum number of edits whose outcomes are kept. */
  readonly editsLimit: number;
  /** Maximum number of these per team. */
  readonly editsPerTeamLimit: number;
  /** How many a team may have even when `editsLimit` is reached. */
  readonly editsPerTeamReserve: number;
  /** Maximum bytes of replaced section texts kept for these outcomes. */
  readonly replacedBytesLimit: number;
  /** Maximum of these bytes per team. */
  readonly replacedBytesPerTeamLimit: number;
  /** How many bytes a team may have even when the limit is reached. */
  readonly replacedBytesPerTeamReserve: number;
  /** How long accepted edits stay in the history. */
  readonly historyRetentionMs: number;
  /** Maximum accepted edits in the history; the oldest are dropped first. */
  readonly historyLimit: number;
  /** How far one command may move the group's time forward. */
  readonly clockStepLimitMs: number;
}

/** Default limits. */
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

/**
 * Whether a team that uses `own` of the `total` in use may use more. A team
 * below its reserve always may, so that other teams can't lock it out.
 */
export function hasCapacity(
  used: { readonly own: number; readonly total: number },
  limits: {
    readonly limit: number;
    readonly perTeamLimit: number;
    readonly perTeamReserve: number;
  },
): boolean {
  const { own, total } = used;
  return own < limits.perTeamReserve ||
    (own < limits.perTeamLimit && total < limits.limit);
}
