/**
 * `config history`: lists edits with their team, time and base version, and
 * the instances on which they are in force.
 *
 * @module
 */

import { type CommandContext, printResult } from "../command_context.ts";
import { queryString } from "../query_string.ts";
import { renderTable } from "../table.ts";

/** Which entries `config history` shows. */
export interface ConfigHistoryOptions {
  /** `kind.name`; all sections when undefined. */
  readonly section?: string;
  readonly limit?: number;
}

interface HistoryView {
  readonly version: number;
  readonly instances: readonly { instanceId: string; version: number }[];
  readonly entries: readonly {
    readonly version: number;
    readonly section: string;
    readonly change: string;
    readonly team: string | null;
    readonly baseVersion: number;
    readonly atMs: number;
    readonly inForceOn: readonly string[];
  }[];
}

/** Prints the history, the newest edit first; returns the exit code. */
export async function showConfigurationHistory(
  context: CommandContext,
  options: ConfigHistoryOptions,
): Promise<number> {
  const query = queryString({ ...options });
  const result = await context.client.json({
    method: "GET",
    path: `/v1/configuration/history?${query}`,
  });
  return printResult(context, {
    result,
    render: (value) => renderHistory(value as HistoryView),
  });
}

function renderHistory(view: HistoryView): string {
  const count = view.instances.length;
  return renderTable(
    ["VERSION", "SECTION", "CHANGE", "TEAM", "FROM", "AT", "IN FORCE ON"],
    view.entries.map((entry) => [
      entry.version,
      entry.section,
      entry.change,
      entry.team,
      entry.baseVersion,
      new Date(entry.atMs).toISOString(),
      entry.inForceOn.length === count
        ? `all ${count}`
        : `${entry.inForceOn.length} of ${count}: ${entry.inForceOn.join(" ")}`,
    ]),
  );
}
