/**
 * Parses TOML, with errors that give the line.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { parse, TomlDate, TomlError } from "smol-toml";
import { failure, type Result } from "../../base/sesame_error.ts";

/** A parsed table that has not been validated. */
export type PlainTable = Record<string, unknown>;

/** Maximum nesting depth of tables and arrays. */
export const TOML_DEPTH_LIMIT = 16;

/** Parses TOML; a `malformed` error has the line, if known, in its facts. */
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
 * Finds the line, from 1, at which the value at `path` begins, or else its
 * nearest ancestor's line. The search parses prefixes of the text with the TOML
 * library, so that no second parser is needed; undefined when that would take
 * too long.
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

/** Suffixes that close a value that a prefix of the text leaves open. */
const CLOSINGS = ["", "\n]", "\n}\n]", '\n"""'];

/** Maximum lines dropped from a prefix until it parses. */
const DROPPED_LINES_LIMIT = 64;

/** Cost limit of one search, in parses of the whole text. */
const FULL_PARSES_LIMIT = 64;

/** Searches one text for lines, at a bounded cost. */
class LineSearch {
  readonly #lines: readonly string[];
  #budget: number;

  constructor(text: string) {
    this.#lines = text.split("\n");
    this.#budget = text.length * FULL_PARSES_LIMIT;
  }

  /** Binary search: if a prefix has the path, longer ones have it too. */
  firstLineWith(path: readonly PropertyKey[]): number | undefined {
    if (!this.#prefixHasPath(this.#lines.length, path)) {
      return undefined;
    }
    let low = 1;
    let high = this.#lines.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#prefixHasPath(middle, path)) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return this.#budget > 0 ? low : undefined;
  }

  #prefixHasPath(count: number, path: readonly PropertyKey[]): boolean {
    const minLength = Math.max(0, count - DROPPED_LINES_LIMIT);
    for (let length = count; length > minLength; length--) {
      const prefix = this.#lines.slice(0, length).join("\n");
      for (const closing of CLOSINGS) {
        this.#budget -= prefix.length;
        const table = this.#budget > 0
          ? parseToml(prefix + closing)
          : undefined;
        if (table?.isRight()) {
          return hasPath(table.extract(), path);
        }
      }
    }
    return false;
  }
}

function hasPath(table: unknown, path: readonly PropertyKey[]): boolean {
  let value = table;
  for (const key of path) {
    const isObject = typeof value === "object" && value !== null;
    if (!isObject || !Object.hasOwn(value as object, key)) {
      return false;
    }
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  return true;
}

/** A copy with ordinary prototypes and with dates as ISO strings. */
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
