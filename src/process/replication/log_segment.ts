/**
 * One file of a member's log.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";
import { scanRecords } from "../storage/record_codec.ts";
import type { LogEntry } from "./log_entry.ts";
import { decodeEntry } from "./stored_log.ts";

/** A segment that can be written. */
export interface LogSegment {
  readonly name: string;
  lastIndex: number;
  /** The bytes that are synced. */
  bytes: number;
}

/** The content of an intact segment. */
export interface SegmentContent {
  readonly name: string;
  /** The content without a torn tail. */
  readonly bytes: Uint8Array;
  readonly entries: readonly LogEntry[];
  readonly lastIndex: number;
}

/**
 * Decodes a segment. Only the newest may end with a torn record: an older one
 * was synced before the next was begun.
 */
export function decodeSegment(
  name: string,
  bytes: Uint8Array,
  options: { isNewest: boolean },
): Result<SegmentContent> {
  const scan = scanRecords(bytes);
  const isDamaged = scan.state === "corrupt" ||
    (scan.state === "torn" && !options.isNewest);
  if (isDamaged) {
    const detail = `${name}: damaged at byte ${scan.wholeBytes}`;
    return failure("storageFailed", { detail });
  }
  return decodeEntries(name, scan.payloads).map((entries) => ({
    name,
    bytes: bytes.subarray(0, scan.wholeBytes),
    entries,
    lastIndex: largestIndex(entries, 0),
  }));
}

function decodeEntries(
  name: string,
  payloads: readonly Uint8Array[],
): Result<LogEntry[]> {
  try {
    return Right(payloads.map(decodeEntry));
  } catch (error) {
    const detail = `${name}: ${String(error)}`;
    return failure("storageFailed", { detail });
  }
}

/** The largest index of the entries, or `atLeast` if that is larger. */
export function largestIndex(
  entries: readonly LogEntry[],
  atLeast: number,
): number {
  return entries.reduce(
    (largest, entry) => Math.max(largest, entry.index),
    atLeast,
  );
}
