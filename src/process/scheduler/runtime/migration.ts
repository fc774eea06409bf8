/**
 * How versioned records of older formats are brought up to the current one.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import { failure, type Result } from "../../../base/sesame_error.ts";

const versioned = z.looseObject({ formatVersion: z.int().min(1) });

/** A record that says its format version. */
export type VersionedRecord = z.infer<typeof versioned>;

/** Brings a record of one version to the next. */
export type Migration = (record: VersionedRecord) => VersionedRecord;

/**
 * Applies the migrations that the record still lacks; the one at index 0
 * leads from version 1 to version 2.
 */
export function migrate(
  raw: unknown,
  options: {
    readonly migrations: readonly Migration[];
    readonly currentVersion: number;
  },
): Result<VersionedRecord> {
  const parsed = versioned.safeParse(raw);
  if (!parsed.success) {
    return failure("malformed", { detail: "a record without a version" });
  }
  const { formatVersion } = parsed.data;
  if (formatVersion > options.currentVersion) {
    return failure("malformed", {
      detail: `a record of the newer version ${formatVersion}`,
    });
  }
  return Right(
    options.migrations
      .slice(formatVersion - 1)
      .reduce((record, step) => step(record), parsed.data),
  );
}
