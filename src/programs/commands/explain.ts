/**
 * Explains a request or job from the log lines of all processes.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";
import {
  type CommandContext,
  printError,
  printResult,
} from "./command_context.ts";

/** A log line about the request or job. */
export interface ExplainedLine {
  readonly time: string;
  readonly instance: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The lines sorted by time, and the one that decided the outcome. */
export interface Explanation {
  readonly id: string;
  readonly lines: readonly ExplainedLine[];
  readonly decisive: ExplainedLine | undefined;
}

/**
 * Events that decide what the caller gets, the most significant first. Of
 * several lines with the same event, the last one counts.
 */
const DECISIVE_EVENTS = [
  "batchJobEnded",
  "batchJobRefused",
  "batchCallUnanswered",
  "batchCallUnavailable",
  "batchCancelAnswered",
  "batchCancelHandled",
  "taskOrderUnanswered",
  "taskStartRefused",
  "taskPreempted",
  "taskEnded",
  "taskStarted",
  "batchJobAccepted",
] as const;

/** Fields that every line has in addition to those of its event. */
const COMMON_FIELDS = new Set([
  "time",
  "level",
  "event",
  "number",
  "instance",
  "life",
  "line",
]);

/** Prints the log lines about a request or job, and the decisive one. */
export async function explain(
  context: CommandContext,
  options: { id: string; logs: readonly string[] },
): Promise<number> {
  const { id, logs } = options;
  if (logs.length === 0) {
    const usageError = failure("invalid", {
      detail: "--logs FILE is required",
    });
    return printResult(context, { result: usageError, render: () => "" });
  }
  const texts: string[] = [];
  for (const path of logs) {
    const content = await context.io.read(path);
    if (content.isLeft()) {
      return content.caseOf({
        Left: (error) => printError(context, error),
        Right: () => 0,
      });
    }
    texts.push(content.unsafeCoerce());
  }
  return printResult(context, {
    result: explainLines(id, texts),
    render: renderExplanation,
  });
}

/** Finds the lines about the ID; `notFound` if there are none. */
export function explainLines(
  id: string,
  texts: readonly string[],
): Result<Explanation> {
  const lines = texts
    .flatMap((text) => text.split("\n"))
    .flatMap((line) => parseLine(line, id))
    .sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0);
  if (lines.length === 0) {
    return failure("notFound", { detail: `No log line is about ${id}.` });
  }
  return Right({ id, lines, decisive: findDecisiveLine(lines) });
}

/** Returns an empty array if the line is not JSON or not about the ID. */
function parseLine(text: string, id: string): ExplainedLine[] {
  const start = text.indexOf('{"time"');
  if (start < 0 || !text.includes(id)) {
    return [];
  }
  let raw: Record<string, unknown>;
  try {
    raw = JSON.parse(text.slice(start)) as Record<string, unknown>;
  } catch {
    return [];
  }
  const isAbout = raw["jobId"] === id || raw["requestId"] === id ||
    String(raw["jobIds"] ?? "").split(" ").includes(id) ||
    String(raw["task"] ?? "").startsWith(`${id}.`);
  if (!isAbout) {
    return [];
  }
  const fields = Object.entries(raw).filter(([name]) =>
    !COMMON_FIELDS.has(name)
  );
  return [{
    time: String(raw["time"]),
    instance: String(raw["instance"]),
    event: String(raw["event"]),
    fields: Object.fromEntries(fields),
  }];
}

function findDecisiveLine(
  lines: readonly ExplainedLine[],
): ExplainedLine | undefined {
  for (const event of DECISIVE_EVENTS) {
    const found = lines.findLast((line) => line.event === event);
    if (found !== undefined) {
      return found;
    }
  }
  return lines.at(-1);
}

function renderExplanation({ lines, decisive }: Explanation): string {
  const rows = lines.map(renderLine);
  return [
    ...rows,
    "",
    `decisive: ${decisive === undefined ? "none" : renderLine(decisive)}`,
  ].join("\n");
}

function renderLine({ time, instance, event, fields }: ExplainedLine): string {
  const fieldsText = Object.entries(fields)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(" ");
  return `${time} ${instance} ${event} ${fieldsText}`;
}
