/**
 * Writes `docs/EVENTS.md` from the catalogue of events; with `--check` it
 * only compares, and exits 1 when the page has drifted.
 *
 * @module
 */

import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import type { EventDefinition } from "../base/events/event_definition.ts";
import { EVENT_CATALOGUE } from "../base/mod.ts";

const PAGE_PATH = "docs/EVENTS.md";

function renderPage(): string {
  const rows = Object.entries<EventDefinition>(EVENT_CATALOGUE)
    .sort(([, left], [, right]) => left.number - right.number)
    .map(([name, event]) => renderRow(name, event));
  return [
    "# Log events",
    "",
    "Written by `npm run events`; CI compares it with the code.",
    "",
    "| number | name | level | meaning | fields |",
    "| --- | --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function renderRow(name: string, event: EventDefinition): string {
  const fields = event.fields.map((field) => `\`${field}\``).join(", ");
  const cells = [event.number, `\`${name}\``, event.level, event.text, fields];
  return `| ${cells.join(" | ")} |`;
}

/** The numbers that two events share; a released number is never reused. */
function findRepeatedNumbers(): number[] {
  const numbers = Object.values<EventDefinition>(EVENT_CATALOGUE)
    .map((event) => event.number);
  return numbers.filter((number, at) => numbers.indexOf(number) !== at);
}

function main(): number {
  const repeated = findRepeatedNumbers();
  if (repeated.length > 0) {
    console.error(`Event numbers used twice: ${repeated.join(", ")}`);
    return 1;
  }
  const page = renderPage();
  if (!process.argv.includes("--check")) {
    writeFileSync(PAGE_PATH, page);
    return 0;
  }
  if (readFileSync(PAGE_PATH, "utf8") === page) {
    return 0;
  }
  console.error(`${PAGE_PATH} differs from the code: npm run events`);
  return 1;
}

process.exitCode = main();
