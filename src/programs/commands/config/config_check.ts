/**
 * `config check FILE`: reports what is wrong in a document before it is sent,
 * and how it differs from the version in force.
 *
 * @module
 */

import type { Result } from "../../../base/sesame_error.ts";
import {
  findDifferences,
  type SectionDifference,
} from "../../../version/document/findings/document_difference.ts";
import type { DocumentFinding } from "../../../version/document/findings/document_finding.ts";
import { findDocumentFindings } from "../../../version/document/findings/document_findings.ts";
import {
  type CommandContext,
  printError,
  printResult,
} from "../command_context.ts";
import { readDocumentText } from "./config_get.ts";

/** Exit codes of `config check`. */
export const CONFIG_CHECK_EXIT = {
  clean: 0,
  findings: 1,
  notChecked: 2,
} as const;

/** Options of `config check`. */
export interface ConfigCheckOptions {
  readonly file: string;
  /** A file, or the address of an instance, with the version in force. */
  readonly against?: string;
  /** `team:key`; with it, key hashes are compared too. */
  readonly key?: string;
}

interface CheckReport {
  readonly file: string;
  readonly findings: readonly DocumentFinding[];
  /** Absent without `against`; null if the file isn't TOML. */
  readonly differences?: readonly SectionDifference[] | null;
}

/** `host:port`, with an IPv6 address in brackets. */
const ADDRESS_PATTERN = /^(?:[\w.-]+|\[[\da-f:.]+\]):\d{1,5}$/i;

/** Checks the document in the file; returns the exit code. */
export async function checkConfiguration(
  context: CommandContext,
  options: ConfigCheckOptions,
): Promise<number> {
  const text = await context.io.read(options.file);
  const inForce = await readInForce(context, options);
  const result = text.chain((content) =>
    inForce === undefined
      ? text.map(() => checkText(options.file, content))
      : inForce.chain((before) => compare(options.file, { before, content }))
  );
  return result.caseOf({
    Left: (error) => {
      printError(context, error);
      return CONFIG_CHECK_EXIT.notChecked;
    },
    Right: (report) => {
      printResult(context, { result, render: renderReport });
      return report.findings.length === 0
        ? CONFIG_CHECK_EXIT.clean
        : CONFIG_CHECK_EXIT.findings;
    },
  });
}

async function readInForce(
  context: CommandContext,
  options: ConfigCheckOptions,
): Promise<Result<string> | undefined> {
  const { against, key } = options;
  if (against === undefined) {
    return undefined;
  }
  return ADDRESS_PATTERN.test(against)
    ? await readDocumentText(context.client.forServer(against), key)
    : await context.io.read(against);
}

function checkText(file: string, content: string): CheckReport {
  return { file, findings: findDocumentFindings(content) };
}

/** Fails if the version in force isn't TOML. */
function compare(
  file: string,
  texts: { before: string; content: string },
): Result<CheckReport> {
  const { before, content } = texts;
  return findDifferences(before, "").map(() => ({
    ...checkText(file, content),
    differences: findDifferences(before, content).toMaybe().extractNullable(),
  }));
}

function renderReport(report: CheckReport): string {
  const { file, findings, differences } = report;
  const lines = findings.map(({ kind, path, line, reason }) =>
    `${file}:${line ?? "?"}: ${kind}: ${
      path === "" ? "" : `${path}: `
    }${reason}`
  );
  lines.push(`${file}: ${findings.length} findings`);
  if (differences === null) {
    lines.push("not compared, since the file can't be parsed");
  }
  for (const { section, change, entries } of differences ?? []) {
    lines.push(`${section} ${change}`, ...entries.map((entry) => `  ${entry}`));
  }
  if (differences?.length === 0) {
    lines.push("no differences");
  }
  return lines.join("\n");
}
