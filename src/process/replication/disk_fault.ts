/**
 * How a member reacts to a failed or late write of its disk.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { Result } from "../../base/sesame_error.ts";

/** What a member writes. */
export const DiskWrite = {
  /** Entries of the log: their append or their sync. */
  entries: "entries",
  hardState: "hardState",
  /** A snapshot from the leader, in place of the entries. */
  leaderSnapshot: "leaderSnapshot",
  /** A snapshot that this member made of entries that are on its disk. */
  ownSnapshot: "ownSnapshot",
  /** The removal of entries that a snapshot covers. */
  removal: "removal",
  /** Reading the files at the start or after a fault, and rewriting them. */
  opening: "opening",
} as const;

/** One of the values of {@link DiskWrite}. */
export type DiskWrite = typeof DiskWrite[keyof typeof DiskWrite];

/** The reaction to a failed write. */
export const DiskFaultResponse = {
  /**
   * The member stops until its disk works, and then loads its log again. What
   * the write covers was acknowledged to nobody.
   */
  suspend: "suspend",
  /** The log on disk is still complete; the next snapshot tries again. */
  keepOlderFiles: "keepOlderFiles",
} as const;

/** One of the values of {@link DiskFaultResponse}. */
export type DiskFaultResponse =
  typeof DiskFaultResponse[keyof typeof DiskFaultResponse];

/** A failed write. */
export interface DiskFault {
  readonly write: DiskWrite;
  readonly detail: string;
}

/** The reaction to a failed write of this kind. */
export function responseToDiskFault(write: DiskWrite): DiskFaultResponse {
  switch (write) {
    case "ownSnapshot":
    case "removal":
      return DiskFaultResponse.keepOlderFiles;
    case "entries":
    case "hardState":
    case "leaderSnapshot":
    case "opening":
      return DiskFaultResponse.suspend;
  }
}

/**
 * Reports a failed write. What is returned fails only if the member has to
 * suspend itself.
 */
export function handleDiskWrite(
  write: DiskWrite,
  result: Result<void>,
  onFault: (fault: DiskFault) => void,
): Result<void> {
  result.ifLeft(({ message }) => onFault({ write, detail: message }));
  const isSurvived =
    responseToDiskFault(write) === DiskFaultResponse.keepOlderFiles;
  return isSurvived ? Right(undefined) : result;
}

/** The share of the free space that a member's own snapshot may take. */
const SNAPSHOT_SPACE_SHARE = 0.5;

/** Whether a snapshot leaves enough space for the entries that follow it. */
export function isSnapshotAffordable(
  options: { snapshotBytes: number; freeBytes: number },
): boolean {
  return options.snapshotBytes <= options.freeBytes * SNAPSHOT_SPACE_SHARE;
}

/** The pauses between attempts to open the log of a disk that failed. */
const OPEN_RETRY_MIN_MS = 100;
const OPEN_RETRY_MAX_MS = 500;

/** The pause before the next attempt, after `attempts` failed ones. */
export function openRetryMs(attempts: number): number {
  return Math.min(OPEN_RETRY_MAX_MS, OPEN_RETRY_MIN_MS * 2 ** attempts);
}
