/**
 * Parses and checks documents and sections. Errors are returned, never thrown,
 * and give the section, the line if found, and the reason.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { z } from "zod";
import { failure, type Result, SesameError } from "../../base/sesame_error.ts";
import { checkDocument, type DocumentFault } from "./check_document.ts";
import {
  type Document,
  documentSchema,
  SECTION_SCHEMAS,
  type SectionKind,
} from "./document.ts";
import {
  migrateDocument,
  type MigrationOptions,
} from "./document_migration.ts";
import { formatSectionId, type SectionId } from "./section_id.ts";
import { findLine, parseToml, type PlainTable, toPlain } from "./toml_text.ts";

/** Maximum bytes of a document's text. */
export const DOCUMENT_LIMIT_BYTES = 4 * 1_048_576;

/** Maximum bytes of a section's text. */
export const SECTION_LIMIT_BYTES = 65_536;

/** How to parse a document. */
export interface ParseDocumentOptions extends MigrationOptions {
  /** Skips the checks of size and rules, for a document accepted before. */
  readonly skipsRules?: boolean;
}

/** Parses a document and checks its size, shape and rules. */
export function parseDocument(
  text: string,
  options: ParseDocumentOptions = {},
): Result<Document> {
  const isLarge = Buffer.byteLength(text) > DOCUMENT_LIMIT_BYTES;
  if (isLarge && options.skipsRules !== true) {
    return failure("tooLarge", {
      detail: `a document has at most ${DOCUMENT_LIMIT_BYTES} bytes`,
    });
  }
  return parseToml(text)
    .chain((table) => migrateDocument(table, options))
    .chain((table) => checkShape(documentSchema, { table, text, prefix: [] }))
    .chain((document) =>
      options.skipsRules ? Right(document) : checkRules(document, text)
    );
}

/** The content of a section of the given kind. */
export type SectionOf<Kind extends SectionKind> = z.infer<
  typeof SECTION_SCHEMAS[Kind]
>;

/** The content of a section of any kind. */
export type Section = SectionOf<SectionKind>;

/** Parses a section's text, which must contain only the table `[kind.name]`. */
export function parseSection(
  sectionId: SectionId,
  text: string,
): Result<Section> {
  const location = formatSectionId(sectionId);
  if (Buffer.byteLength(text) > SECTION_LIMIT_BYTES) {
    return failure("tooLarge", {
      location,
      detail: `a section has at most ${SECTION_LIMIT_BYTES} bytes`,
    });
  }
  const prefix = [sectionId.kind, sectionId.name];
  return parseToml(text)
    .mapLeft((error) => withLocation(error, location))
    .chain((table) => extractSection(sectionId, { table, text }))
    .chain((table) =>
      checkShape<Section>(SECTION_SCHEMAS[sectionId.kind], {
        table,
        text,
        prefix,
      })
    );
}

function extractSection(
  sectionId: SectionId,
  source: { table: PlainTable; text: string },
): Result<PlainTable> {
  const { kind, name } = sectionId;
  const unexpectedKey = Object.keys(source.table).find((key) => key !== kind);
  if (unexpectedKey !== undefined) {
    return failUnexpected(sectionId, {
      text: source.text,
      path: [unexpectedKey],
    });
  }
  const sections = source.table[kind];
  if (!isTable(sections) || !isTable(sections[name])) {
    return failure("malformed", {
      location: formatSectionId(sectionId),
      detail: `the text must hold the table [${formatSectionId(sectionId)}]`,
    });
  }
  const other = Object.keys(sections).find((key) => key !== name);
  if (other !== undefined) {
    return failUnexpected(sectionId, {
      text: source.text,
      path: [kind, other],
    });
  }
  return Right(sections[name]);
}

function failUnexpected(
  sectionId: SectionId,
  found: { text: string; path: readonly string[] },
): Result<PlainTable> {
  const reason = `${found.path.join(".")} is not part of the section`;
  return failure("malformed", {
    location: formatSectionId(sectionId),
    ...describe(reason, findLine(found.text, found.path)),
  });
}

interface ShapeSource {
  readonly table: PlainTable;
  readonly text: string;
  /** Path of the table within the text. */
  readonly prefix: readonly string[];
}

function checkShape<T>(schema: z.ZodType<T>, source: ShapeSource): Result<T> {
  const parsed = schema.safeParse(toPlain(source.table));
  if (parsed.success) {
    return Right(parsed.data);
  }
  const { issues } = parsed.error;
  const issue = issues.find(isUnknownKey) ?? issues[0];
  const path = [...source.prefix, ...(issue?.path ?? [])];
  const unknownKey = issue?.code === "unrecognized_keys" ? issue.keys[0] : "";
  const linePath = unknownKey ? [...path, unknownKey] : path;
  const fieldPath = path.slice(2).map(String).join(".");
  const reason = issue?.message ?? "it has the wrong shape";
  return failure("malformed", {
    location: path.slice(0, 2).map(String).join("."),
    ...describe(
      fieldPath === "" ? reason : `${fieldPath}: ${reason}`,
      findLine(source.text, linePath),
    ),
  });
}

/** Unknown keys go first: a misspelt field also looks like a missing one. */
function isUnknownKey(issue: z.core.$ZodIssue): boolean {
  return issue.code === "unrecognized_keys";
}

function checkRules(document: Document, text: string): Result<Document> {
  const fault = checkDocument(document)[0];
  return fault === undefined ? Right(document) : refuseFault(fault, text);
}

/** Turns a violated rule into an `invalid` error, with its line in `text`. */
export function refuseFault<T>(
  fault: DocumentFault,
  text?: string,
): Result<T> {
  const { kind, name } = fault.sectionId;
  const path = [kind, name, ...fault.path];
  const line = text === undefined ? undefined : findLine(text, path);
  const fieldPath = fault.path.map(String).join(".");
  return failure("invalid", {
    location: formatSectionId(fault.sectionId),
    ...describe(
      fieldPath ? `${fieldPath}: ${fault.reason}` : fault.reason,
      line,
    ),
  });
}

function describe(
  reason: string,
  line: number | undefined,
): { detail: string; facts?: { line: number } } {
  return line === undefined
    ? { detail: reason }
    : { detail: `line ${line}: ${reason}`, facts: { line } };
}

function withLocation(error: SesameError, location: string): SesameError {
  return new SesameError(error.kind, {
    detail: error.message,
    location,
    facts: error.facts,
  });
}

function isTable(value: unknown): value is PlainTable {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
