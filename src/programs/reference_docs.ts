/**
 * Writes the pages that come from the code: `docs/EVENTS.md` from the
 * catalogue of events and `docs/ERRORS.md` from the table of error kinds. With
 * `--check` it only compares, and exits 1 when a page has drifted.
 *
 * @module
 */

import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import type { EventDefinition } from "../base/events/event_definition.ts";
import {
  ERROR_ANSWERS,
  type ErrorAnswer,
  EVENT_CATALOGUE,
} from "../base/mod.ts";

const PAGES: Readonly<Record<string, () => string>> = {
  "docs/EVENTS.md": renderEvents,
  "docs/ERRORS.md": renderErrors,
};

const PREAMBLE =
  "Written by `npm run reference`; CI compares it with the code.";

function renderEvents(): string {
  const rows = Object.entries<EventDefinition>(EVENT_CATALOGUE)
    .sort(([, left], [, right]) => left.number - right.number)
    .map(([name, event]) => [
      event.number,
      `\`${name}\``,
      event.level,
      event.text,
      event.fields.map((field) => `\`${field}\``).join(", "),
    ]);
  const headings = ["number", "name", "level", "meaning", "fields"];
  return ["# Log events", "", PREAMBLE, "", ...table(headings, rows), ""]
    .join("\n");
}

function renderErrors(): string {
  const rows = Object.entries<ErrorAnswer>(ERROR_ANSWERS)
    .map(([kind, answer]) => [
      `\`${kind}\``,
      answer.httpStatus,
      answer.exitCode,
      answer.execution === "none" ? "" : answer.execution,
      answer.isRetryable ? "yes" : "no",
      answer.text,
    ]);
  const headings = [
    "kind",
    "HTTP status",
    "exit code",
    "the work",
    "same call may succeed later",
    "text",
  ];
  return [
    "# Error kinds",
    "",
    PREAMBLE,
    "",
    'Every error of an instance is JSON, `{"error": {"kind", "execution",',
    '"detail", "location", "facts"}}`. The tool prints the detail and exits',
    "with the code below; it exits 0 on success and 64 when the command line",
    "is wrong. The daemon exits 2 when its settings are wrong.",
    "",
    '"not run" is said only when it is proved that no backend server or',
    "worker began the work.",
    "",
    ...table(headings, rows),
    "",
  ].join("\n");
}

function table(
  headings: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string[] {
  const rule = headings.map(() => "---");
  return [headings, rule, ...rows].map((cells) => `| ${cells.join(" | ")} |`);
}

/** The numbers that two events share; a released number is never reused. */
function findRepeatedNumbers(): number[] {
  const numbers = Object.values<EventDefinition>(EVENT_CATALOGUE)
    .map((event) => event.number);
  return numbers.filter((number, at) => numbers.indexOf(number) !== at);
}

function hasDrifted(path: string, text: string): boolean {
  return !existsSync(path) || readFileSync(path, "utf8") !== text;
}

function main(): number {
  const repeated = findRepeatedNumbers();
  if (repeated.length > 0) {
    console.error(`Event numbers used twice: ${repeated.join(", ")}`);
    return 1;
  }
  const isCheck = process.argv.includes("--check");
  let drifted = 0;
  for (const [path, render] of Object.entries(PAGES)) {
    const text = render();
    if (!isCheck) {
      writeFileSync(path, text);
    } else if (hasDrifted(path, text)) {
      console.error(`${path} differs from the code: npm run reference`);
      drifted += 1;
    }
  }
  return drifted === 0 ? 0 : 1;
}

process.exitCode = main();
