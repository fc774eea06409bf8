/**
 * The differences between two documents, by section and entry.
 *
 * @module
 */

import { diffArrays } from "diff";
import { isDeepStrictEqual } from "node:util";
import type { Result } from "../../../base/sesame_error.ts";
import { SECTION_SCHEMAS, type SectionKind } from "../document.ts";
import { formatSectionId, SECTION_KINDS } from "../section_id.ts";
import { parseToml, type PlainTable, toPlain } from "../toml_text.ts";

/** How one section differs. */
export interface SectionDifference {
  readonly section: string;
  readonly change: "added" | "removed" | "changed";
  /** `-path = value` and `+path = value`, with defaults filled in. */
  readonly entries: readonly string[];
}

/** What an instance shows callers without a key in place of key hashes. */
const HIDDEN_HASHES = ["hidden"];

/** Returns the sections of `after` that differ from `before`, both as TOML. */
export function findDifferences(
  before: string,
  after: string,
): Result<SectionDifference[]> {
  return parseToml(before).chain((old) =>
    parseToml(after).map((current) =>
      SECTION_KINDS.flatMap((kind) => compareKind(kind, { old, current }))
    )
  );
}

function compareKind(
  kind: SectionKind,
  tables: { old: PlainTable; current: PlainTable },
): SectionDifference[] {
  const old = sectionsOf(tables.old, kind);
  const current = sectionsOf(tables.current, kind);
  const names = new Set([...old.keys(), ...current.keys()]);
  return [...names].sort().flatMap((name) => {
    const [left, right] = maskHashes(old.get(name), current.get(name));
    const entries = compareEntries(
      left === undefined ? [] : entriesOf(left),
      right === undefined ? [] : entriesOf(right),
    );
    const change = left === undefined
      ? "added"
      : right === undefined
      ? "removed"
      : "changed";
    return change === "changed" && entries.length === 0
      ? []
      : [{ section: formatSectionId({ kind, name }), change, entries }];
  });
}

/** The kind's sections, with defaults filled in where they have their shape. */
function sectionsOf(
  table: PlainTable,
  kind: SectionKind,
): Map<string, unknown> {
  const plain = toPlain(table[kind]);
  return new Map(
    Object.entries(plain ?? {}).map(([name, section]) => {
      const parsed = SECTION_SCHEMAS[kind].safeParse(section);
      return [name, parsed.success ? parsed.data : section];
    }),
  );
}

/** Hidden hashes can't be compared, so both sides then show them as hidden. */
function maskHashes(left: unknown, right: unknown): [unknown, unknown] {
  return hasHiddenHashes(left) || hasHiddenHashes(right)
    ? [withHiddenHashes(left), withHiddenHashes(right)]
    : [left, right];
}

function hasHiddenHashes(section: unknown): boolean {
  const hashes = (section as { keyHashes?: unknown } | undefined)?.keyHashes;
  return Array.isArray(hashes) &&
    isDeepStrictEqual([...new Set(hashes)], HIDDEN_HASHES);
}

function withHiddenHashes(section: unknown): unknown {
  return section === undefined
    ? undefined
    : { ...section as object, keyHashes: HIDDEN_HASHES };
}

/** One line for each value; items of lists are identified by name, if any. */
function entriesOf(value: unknown, path = ""): string[] {
  if (typeof value !== "object" || value === null) {
    return [`${path} = ${JSON.stringify(value)}`];
  }
  const prefix = path === "" ? "" : `${path}.`;
  return Object.entries(value).flatMap(([key, item]) => {
    const { name = key } = Array.isArray(value) ? item ?? {} : {};
    return entriesOf(item, `${prefix}${name}`);
  }).sort();
}

function compareEntries(
  before: readonly string[],
  after: readonly string[],
): string[] {
  return diffArrays([...before], [...after])
    .filter(({ added, removed }) => added || removed)
    .flatMap(({ added, value }) =>
      value.map((entry) => `${added ? "+" : "-"}${entry}`)
    );
}
