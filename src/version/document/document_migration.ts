/**
 * Migrates documents of older formats to the current one, step by step.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";
import { DOCUMENT_FORMAT_VERSION } from "./document.ts";
import type { PlainTable } from "./toml_text.ts";

/** Migrates from the format version under which it is listed to the next. */
export type DocumentMigration = (table: PlainTable) => PlainTable;

/** Migrations by the format version that each starts from. */
export type DocumentMigrations = Readonly<Record<number, DocumentMigration>>;

/** The available migrations; none, since version 1 is the first format. */
export const DOCUMENT_MIGRATIONS: DocumentMigrations = {};

/** Which migrations to use, and the version to reach. */
export interface MigrationOptions {
  readonly migrations?: DocumentMigrations;
  readonly targetVersion?: number;
}

/** Applies all migrations from the table's format version to the target. */
export function migrateDocument(
  table: PlainTable,
  options: MigrationOptions = {},
): Result<PlainTable> {
  const migrations = options.migrations ?? DOCUMENT_MIGRATIONS;
  const target = options.targetVersion ?? DOCUMENT_FORMAT_VERSION;
  const start = table["formatVersion"];
  if (typeof start !== "number" || !Number.isInteger(start)) {
    return failure("malformed", {
      location: "formatVersion",
      detail: `formatVersion = ${target} is missing`,
    });
  }
  let current = table;
  for (let version = start; version < target; version++) {
    const step = migrations[version];
    if (step === undefined) {
      return unknownFormat(start, target);
    }
    current = { ...step(current), formatVersion: version + 1 };
  }
  return start > target ? unknownFormat(start, target) : Right(current);
}

function unknownFormat(start: number, target: number): Result<PlainTable> {
  return failure("malformed", {
    location: "formatVersion",
    detail: `format version ${start} is not supported; expected ${target}`,
  });
}
