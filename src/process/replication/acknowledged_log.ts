/**
 * What a member has told others that its disk holds, and whether a log that was
 * loaded still holds it.
 *
 * @module
 */

import type { HardState } from "./log_entry.ts";
import type { PersistEffect } from "./raft_effect.ts";
import type { StoredLog } from "./stored_log.ts";

/** The newest state that was reported as persisted. */
export interface AcknowledgedLog {
  readonly hardState: HardState | undefined;
  /** The position of the last entry; 0 if there is none. */
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** The state of a disk about which nothing was reported. */
export const NOTHING_ACKNOWLEDGED: AcknowledgedLog = {
  hardState: undefined,
  lastIndex: 0,
  lastTerm: 0,
};

/** The state of a log that was loaded. */
export function acknowledgedByLoading(log: StoredLog): AcknowledgedLog {
  const last = log.entries.at(-1) ?? log.snapshot;
  return {
    hardState: log.hardState,
    lastIndex: last.index,
    lastTerm: last.term,
  };
}

/** The state after effects were persisted. */
export function acknowledgedAfter(
  before: AcknowledgedLog,
  effects: readonly PersistEffect[],
): AcknowledgedLog {
  let { hardState, lastIndex, lastTerm } = before;
  for (const effect of effects) {
    hardState = effect.hardState ?? hardState;
    const replacement = effect.replacesEntries ? effect.snapshot : undefined;
    // An entry replaces those from its index on, so the last one written is the
    // last one of the log.
    const last = effect.entries.at(-1) ?? replacement;
    if (last !== undefined) {
      lastIndex = last.index;
      lastTerm = last.term;
    }
  }
  return { hardState, lastIndex, lastTerm };
}

/**
 * Describes what a loaded log lacks of the acknowledged one; undefined if it
 * lacks nothing. Writes that were not acknowledged may be there as well: a
 * later vote, further entries, or a new leader's entries in place of the last.
 */
export function findMissingState(
  log: StoredLog,
  acknowledged: AcknowledgedLog,
): string | undefined {
  const { hardState, lastIndex, lastTerm } = acknowledged;
  if (hardState !== undefined && !holdsVote(log.hardState, hardState)) {
    return `the vote of term ${hardState.term} is missing`;
  }
  const last = acknowledgedByLoading(log);
  const holdsEntries = last.lastTerm > lastTerm ||
    (last.lastTerm === lastTerm && last.lastIndex >= lastIndex);
  return holdsEntries
    ? undefined
    : `entry ${lastIndex} of term ${lastTerm} is missing`;
}

function holdsVote(found: HardState, acknowledged: HardState): boolean {
  if (
    found.incarnation !== acknowledged.incarnation ||
    (acknowledged.formationId !== undefined &&
      found.formationId !== acknowledged.formationId)
  ) {
    return false;
  }
  return found.term > acknowledged.term ||
    (found.term === acknowledged.term &&
      (acknowledged.votedFor === undefined ||
        found.votedFor === acknowledged.votedFor));
}
