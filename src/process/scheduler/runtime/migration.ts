/**
 * Migrates records of older format versions to the current one.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import { failure, type Result } from "../../../base/sesame_error.ts";

const versioned = z.looseObject({ formatVersion: z.int().min(1) });

/** A record with its format version. */
export type VersionedRecord = z.infer<typeof versioned>;

/** Converts a record of one version to the next version. */
export type Migration = (record: VersionedRecord) => VersionedRecord;

/**
 * Applies the migrations that the record needs; the one at index 0 converts
 * version 1 to version 2. `malformed` for a missing or newer version.
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
    return failure("malformed", {
      detail: "the record has no valid format version",
    });
  }
  const { formatVersion } = parsed.data;
  if (formatVersion > options.currentVersion) {
    return failure("malformed", {
      detail: `the record has the newer format version ${formatVersion}`,
    });
  }
  return Right(
    options.migrations
      .slice(formatVersion - 1)
      .reduce((record, step) => step(record), parsed.data),
  );
}
