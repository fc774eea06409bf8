/**
 * What became of one request or job, from the log lines of all processes.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";
import { type CommandContext, report, reportError } from "./command_context.ts";

/** One log line about the identity that is asked for. */
export interface ExplainedLine {
  readonly time: string;
  readonly instance: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The lines in causal order, and the one that decided. */
export interface Explanation {
  readonly id: string;
  readonly lines: readonly ExplainedLine[];
  readonly decisive: ExplainedLine | undefined;
}

/**
 * Events that decide what a caller gets, the most telling first. A later line
 * of the same event goes before an earlier one.
 */
const DECISIVE_EVENTS = [
  "batchJobEnded",
  "batchJobRefused",
  "batchCallUnanswered",
  "batchCallUnavailable",
  "taskOrderUnanswered",
  "taskStartRefused",
  "taskPreempted",
  "taskEnded",
  "taskStarted",
  "batchJobAccepted",
] as const;

/** What every line has beside the event's own fields. */
const COMMON_FIELDS = new Set(["time", "level", "event", "number", "instance"]);

/** Explains a request or job from files of log lines. */
export async function explain(
  context: CommandContext,
  options: { id: string; logs: readonly string[] },
): Promise<number> {
  const { id, logs } = options;
  if (logs.length === 0) {
    const missing = failure("invalid", { detail: "--logs FILE is required" });
    return report(context, { result: missing, render: () => "" });
  }
  const texts: string[] = [];
  for (const path of logs) {
    const read = await context.io.read(path);
    if (read.isLeft()) {
      return read.caseOf({
        Left: (error) => reportError(context, error),
        Right: () => 0,
      });
    }
    texts.push(read.unsafeCoerce());
  }
  return report(context, {
    result: explainLines(id, texts),
    render: renderExplanation,
  });
}

/** `notFound` when no line is about the identity. */
export function explainLines(
  id: string,
  texts: readonly string[],
): Result<Explanation> {
  const lines = texts
    .flatMap((text) => text.split("\n"))
    .flatMap((line) => readLine(line, id))
    .sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0);
  if (lines.length === 0) {
    return failure("notFound", { detail: `No line is about ${id}.` });
  }
  return Right({ id, lines, decisive: findDecisive(lines) });
}

/** A line that isn't JSON, or is about something else, gives nothing. */
function readLine(text: string, id: string): ExplainedLine[] {
  const begin = text.indexOf('{"time"');
  if (begin < 0 || !text.includes(id)) {
    return [];
  }
  let raw: Record<string, unknown>;
  try {
    raw = JSON.parse(text.slice(begin)) as Record<string, unknown>;
  } catch {
    return [];
  }
  const isAbout = raw["jobId"] === id || raw["requestId"] === id ||
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

function findDecisive(
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
  const shown = Object.entries(fields)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(" ");
  return `${time} ${instance} ${event} ${shown}`;
}
