/**
 * Encoding of the configuration's state as a snapshot.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import { Right } from "purify-ts/Either";
import * as z from "zod";
import { failure, type Result } from "../../base/sesame_error.ts";
import { ERROR_ANSWERS, type ErrorKind } from "../../base/error_kind.ts";

/** Format version of the snapshot, not of the document. */
export const SNAPSHOT_FORMAT_VERSION = 1;

const errorKindSchema = z.string().refine(
  (text): text is ErrorKind => Object.hasOwn(ERROR_ANSWERS, text),
).transform((text) => text as ErrorKind);

const sectionTextSchema = z.object({
  section: z.string(),
  version: z.int(),
  text: z.string().nullable(),
  atMs: z.number(),
});

const recordedOutcomeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("accepted"),
    version: z.int(),
    atMs: z.number(),
    removedDataCentre: z.string().nullable(),
  }),
  z.object({ kind: z.literal("conflict"), currentVersion: z.int() }),
  z.object({
    kind: z.literal("refused"),
    error: errorKindSchema,
    detail: z.string(),
    location: z.string(),
    line: z.int().nullable(),
  }),
]);

const recordedEditSchema = z.object({
  editId: z.string(),
  team: z.string(),
  section: z.string(),
  digest: z.string(),
  outcome: recordedOutcomeSchema,
  atMs: z.number(),
});

const historyEntrySchema = z.object({
  version: z.int(),
  /** `kind.name`, or `*` for the initial document. */
  section: z.string(),
  change: z.enum(["bootstrap", "replace", "remove"]),
  editId: z.string().nullable(),
  team: z.string().nullable(),
  baseVersion: z.int(),
  /** By the clock of the instance that proposed the change. */
  atMs: z.number(),
});

const removalSchema = z.object({
  dataCentre: z.string(),
  version: z.int(),
  state: z.enum(["pending", "accepted"]),
});

const stalePermissionSchema = z.object({
  dataCentre: z.string(),
  startPermissionMs: z.number(),
  replacedByVersion: z.int(),
  replacedAtMs: z.number(),
});

const snapshotSchema = z.object({
  formatVersion: z.literal(SNAPSHOT_FORMAT_VERSION),
  /** The document format of the sections' texts. */
  documentFormatVersion: z.int(),
  version: z.int().min(0),
  acceptedAtMs: z.number(),
  /** The group's clock. */
  nowMs: z.number(),
  prunedAtMs: z.number(),
  sections: z.array(sectionTextSchema),
  replaced: z.array(sectionTextSchema.extend({
    replacedAtMs: z.number(),
    replacedBy: z.string(),
  })),
  edits: z.array(recordedEditSchema),
  history: z.array(historyEntrySchema),
  removals: z.array(removalSchema),
  permissions: z.array(stalePermissionSchema),
});

/** One accepted change in the history. */
export type HistoryEntry = Readonly<z.infer<typeof historyEntrySchema>>;

/** The whole state as plain data. */
export type ConfigurationSnapshot = z.infer<typeof snapshotSchema>;

export function encodeSnapshot(snapshot: ConfigurationSnapshot): Uint8Array {
  return pack(snapshot);
}

/** Decodes and validates a snapshot; `malformed` when it isn't one. */
export function decodeSnapshot(
  bytes: Uint8Array,
): Result<ConfigurationSnapshot> {
  let value: unknown;
  try {
    value = unpack(bytes);
  } catch (error) {
    return failure("malformed", { detail: `snapshot: ${error}` });
  }
  const parsed = snapshotSchema.safeParse(value);
  return parsed.success
    ? Right(parsed.data)
    : failure("malformed", { detail: `snapshot: ${parsed.error.message}` });
}
