/**
 * TOML text to plain tables, with errors that name the line.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { parse, TomlDate, TomlError } from "smol-toml";
import { failure, type Result } from "../../base/sesame_error.ts";

/** A parsed table whose content has not been checked yet. */
export type PlainTable = Record<string, unknown>;

/** The deepest nesting of tables and arrays that a document may have. */
export const TOML_DEPTH_LIMIT = 16;

/** Parses TOML; a `malformed` error carries the line as a fact. */
export function parseToml(text: string): Result<PlainTable> {
  try {
    return Right(parseOrThrow(text));
  } catch (error) {
    const line = error instanceof TomlError ? error.line : undefined;
    const reason = firstLine(error).replace("Invalid TOML document: ", "");
    return failure("malformed", {
      detail: line === undefined ? reason : `line ${line}: ${reason}`,
      ...(line === undefined ? {} : { facts: { line } }),
    });
  }
}

function parseOrThrow(text: string): PlainTable {
  return parse(text, {
    maxDepth: TOML_DEPTH_LIMIT,
    unsafeKeyBehaviour: "throw",
  });
}

function firstLine(error: unknown): string {
  const message = error instanceof Error ? error.message : String(error);
  return message.split("\n", 1)[0] ?? "";
}

/**
 * The line, from 1, at which the value at `path` begins, or that of its
 * nearest ancestor. It is found by parsing ever shorter beginnings of the
 * text, so that the library stays the only parser; undefined when that would
 * take too long.
 */
export function findLine(
  text: string,
  path: readonly PropertyKey[],
): number | undefined {
  const search = new LineSearch(text);
  for (let depth = path.length; depth > 0; depth--) {
    const line = search.firstLineWith(path.slice(0, depth));
    if (line !== undefined) {
      return line;
    }
  }
  return undefined;
}

/** What may close a value that is open at the end of a beginning. */
const CLOSINGS = ["", "\n]", "\n}\n]", '\n"""'];

/** How many lines back to look for a beginning that parses. */
const BACKWARD_LINES = 64;

/** How often the whole length of the text may be parsed in one search. */
const PARSES_LIMIT = 64;

/** Looks for lines in one text, at a bounded cost. */
class LineSearch {
  readonly #lines: readonly string[];
  #budget: number;

  constructor(text: string) {
    this.#lines = text.split("\n");
    this.#budget = text.length * PARSES_LIMIT;
  }

  /** Binary search: once a beginning holds the path, longer ones do too. */
  firstLineWith(path: readonly PropertyKey[]): number | undefined {
    if (!this.#beginningHolds(this.#lines.length, path)) {
      return undefined;
    }
    let low = 1;
    let high = this.#lines.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#beginningHolds(middle, path)) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return this.#budget > 0 ? low : undefined;
  }

  #beginningHolds(count: number, path: readonly PropertyKey[]): boolean {
    const least = Math.max(0, count - BACKWARD_LINES);
    for (let length = count; length > least; length--) {
      const beginning = this.#lines.slice(0, length).join("\n");
      for (const closing of CLOSINGS) {
        this.#budget -= beginning.length;
        const table = this.#budget > 0
          ? parseToml(beginning + closing)
          : undefined;
        if (table?.isRight()) {
          return holds(table.extract(), path);
        }
      }
    }
    return false;
  }
}

function holds(table: unknown, path: readonly PropertyKey[]): boolean {
  let value = table;
  for (const key of path) {
    const isOpen = typeof value === "object" && value !== null;
    if (!isOpen || !Object.hasOwn(value as object, key)) {
      return false;
    }
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  return true;
}

/** A copy with ordinary prototypes, and dates as text. */
export function toPlain(value: unknown): unknown {
  if (value instanceof TomlDate) {
    return value.toISOString();
  }
  if (Array.isArray(value)) {
    return value.map(toPlain);
  }
  if (typeof value !== "object" || value === null) {
    return value;
  }
  const entries = Object.entries(value);
  return Object.fromEntries(entries.map(([key, item]) => [key, toPlain(item)]));
}
