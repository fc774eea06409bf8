/**
 * The file formats of a member's hard state, snapshot and entries.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import * as z from "zod";
import type { Result } from "../../base/sesame_error.ts";
import { encodeRecord, readSingleRecord } from "../storage/record_codec.ts";
import { groupConfigurationSchema } from "./group_configuration.ts";
import {
  bytesSchema,
  type HardState,
  type LogEntry,
  logEntrySchema,
  type LogSnapshot,
} from "./log_entry.ts";
import { EMPTY_SNAPSHOT } from "./raft_log.ts";

const FORMAT_VERSION = 1;

const hardStateSchema = z.strictObject({
  formatVersion: z.literal(FORMAT_VERSION),
  incarnation: z.int(),
  formationId: z.string().optional(),
  term: z.int(),
  votedFor: z.string().optional(),
  founderIds: z.array(z.string()).optional(),
});

const snapshotSchema = z.strictObject({
  formatVersion: z.literal(FORMAT_VERSION),
  index: z.int(),
  term: z.int(),
  configuration: groupConfigurationSchema,
  data: bytesSchema,
});

const entryRecordSchema = z.tuple([
  logEntrySchema.shape.index,
  logEntrySchema.shape.term,
  logEntrySchema.shape.kind,
  bytesSchema,
]);

/** The persisted state of a member. */
export interface StoredLog {
  readonly hardState: HardState;
  readonly snapshot: LogSnapshot;
  readonly entries: readonly LogEntry[];
}

/** The result of loading a member's files. */
export type LoadedLog =
  | { readonly kind: "empty" }
  | { readonly kind: "corrupt"; readonly detail: string }
  | { readonly kind: "whole"; readonly log: StoredLog };

/** Encodes the hard state as the content of its file. */
export function encodeHardState(hardState: HardState): Uint8Array {
  const { incarnation, formationId, term, votedFor, founderIds } = hardState;
  const payload = pack({
    formatVersion: FORMAT_VERSION,
    incarnation,
    ...(formationId === undefined ? {} : { formationId }),
    term,
    ...(votedFor === undefined ? {} : { votedFor }),
    ...(founderIds === undefined ? {} : { founderIds }),
  });
  return encodeRecord(payload, { syncedBytes: 0 });
}

/** Encodes a snapshot as the content of its file. */
export function encodeSnapshot(snapshot: LogSnapshot): Uint8Array {
  const { index, term, configuration, data } = snapshot;
  const payload = pack({
    formatVersion: FORMAT_VERSION,
    index,
    term,
    configuration,
    data,
  });
  return encodeRecord(payload, { syncedBytes: 0 });
}

/** Encodes an entry as its record's payload. */
export function encodeEntry(entry: LogEntry): Uint8Array {
  return pack([entry.index, entry.term, entry.kind, entry.data]);
}

/** Decodes an entry from its record's payload. */
export function decodeEntry(payload: Uint8Array): LogEntry {
  const [index, term, kind, data] = entryRecordSchema.parse(unpack(payload));
  return { index, term, kind, data };
}

/** Assembles the log from its files, or reports what is damaged. */
export function parseLog(
  files: {
    state: Uint8Array;
    snapshot: Uint8Array | undefined;
    entries: Result<LogEntry[]>;
  },
): LoadedLog {
  const hardState = parseHardState(files.state);
  if (hardState === undefined) {
    return { kind: "corrupt", detail: "the state file is damaged" };
  }
  const snapshot = files.snapshot === undefined
    ? EMPTY_SNAPSHOT
    : parseSnapshot(files.snapshot);
  if (snapshot === undefined) {
    return { kind: "corrupt", detail: "the snapshot file is damaged" };
  }
  return files.entries.caseOf<LoadedLog>({
    Left: (error) => ({ kind: "corrupt", detail: error.message }),
    Right: (found) => assembleLog(hardState, snapshot, found),
  });
}

function parseHardState(bytes: Uint8Array): HardState | undefined {
  const payload = readSingleRecord(bytes);
  if (payload === undefined) {
    return undefined;
  }
  const parsed = hardStateSchema.safeParse(unpack(payload));
  if (!parsed.success) {
    return undefined;
  }
  const { incarnation, formationId, term, votedFor, founderIds } = parsed.data;
  return { incarnation, formationId, term, votedFor, founderIds };
}

function parseSnapshot(bytes: Uint8Array): LogSnapshot | undefined {
  const payload = readSingleRecord(bytes);
  if (payload === undefined) {
    return undefined;
  }
  return snapshotSchema.safeParse(unpack(payload)).data;
}

/**
 * Orders the entries by index; a later record replaces an earlier one and all
 * entries after it.
 */
function assembleLog(
  hardState: HardState,
  snapshot: LogSnapshot,
  found: readonly LogEntry[],
): LoadedLog {
  const entries: LogEntry[] = [];
  for (const entry of found) {
    const position = entry.index - snapshot.index - 1;
    if (position > entries.length) {
      return { kind: "corrupt", detail: `entry ${entry.index} follows a gap` };
    }
    if (position >= 0) {
      entries.length = position;
      entries.push(entry);
    }
  }
  // A crash while a leader's snapshot replaced the log leaves older entries
  // behind, which are obsolete.
  const isObsolete = (entries[0]?.term ?? Infinity) < snapshot.term;
  const kept = isObsolete ? [] : entries;
  const lastTerm = kept.at(-1)?.term ?? snapshot.term;
  const term = Math.max(hardState.term, lastTerm);
  const votedFor = term === hardState.term ? hardState.votedFor : undefined;
  return {
    kind: "whole",
    log: {
      hardState: { ...hardState, term, votedFor },
      snapshot,
      entries: kept,
    },
  };
}
