/**
 * Commands about instances: `status` and `timeline`.
 *
 * @module
 */

import type { PeerView } from "../../process/membership/membership_core.ts";
import type { MemberStatus } from "../../process/replication/replicated_log.ts";
import type { TimelineRecord } from "../../process/timeline/timeline_record.ts";
import { type CommandContext, printResult } from "./command_context.ts";
import { queryString } from "./query_string.ts";
import { renderTable } from "./table.ts";

const BYTES_PER_MIB = 1024 * 1024;

interface StatusView {
  readonly instance: {
    readonly id: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly incarnation: number;
  };
  readonly configurationVersion: number;
  readonly groups: readonly MemberStatus[];
  readonly peers: readonly PeerView[];
}

/** `status`: shows the instance that answers, its peers and its groups. */
export async function showStatus(context: CommandContext): Promise<number> {
  const result = await context.client.json({
    method: "GET",
    path: "/v1/status",
  });
  return printResult(context, {
    result,
    render: (value) => renderStatus(value as StatusView),
  });
}

function renderStatus(view: StatusView): string {
  const { instance } = view;
  return [
    `instance ${instance.id} in ${instance.dataCentre}, ${instance.region}`,
    `configuration version ${view.configurationVersion}`,
    "",
    renderTable(
      ["PEER", "DATA CENTRE", "STATE", "HTTP"],
      view.peers.map((peer) => [
        peer.id,
        peer.dataCentre,
        peer.state,
        peer.httpAddress,
      ]),
    ),
    "",
    renderTable(
      ["GROUP", "ROLE", "TERM", "LEADER", "APPLIED", "DISK"],
      view.groups.map((group) => [
        group.groupId,
        group.role,
        group.term,
        group.leaderId,
        group.appliedIndex,
        describeDisk(group),
      ]),
    ),
  ].join("\n");
}

/** What an operator has to know of the disk that holds a group's log. */
function describeDisk({ disk }: MemberStatus): string {
  if (disk === undefined) {
    return "none";
  }
  if (disk.suspendedAtMs !== undefined) {
    return "failed, waiting for it";
  }
  return disk.freeBytes === undefined
    ? "works"
    : `works, ${Math.round(disk.freeBytes / BYTES_PER_MIB)} MiB free`;
}

/** Which events `timeline` shows. */
export interface TimelineOptions {
  readonly job?: string;
  readonly request?: string;
  readonly instance?: string;
  readonly limit?: number;
}

interface TimelineView {
  readonly records: readonly TimelineRecord[];
  readonly missing: readonly string[];
}

/** `timeline`: shows the events of all instances in causal order. */
export async function showTimeline(
  context: CommandContext,
  options: TimelineOptions,
): Promise<number> {
  const query = queryString({ ...options });
  const result = await context.client.json({
    method: "GET",
    path: `/v1/timeline?${query}`,
  });
  return printResult(context, {
    result,
    render: (value) => renderTimeline(value as TimelineView),
  });
}

function renderTimeline(view: TimelineView): string {
  const lines = view.records.map((record) => {
    const time = new Date(record.wallMs).toISOString().slice(11, 23);
    const fields = Object.entries(record.fields)
      .map(([name, value]) => `${name}=${value}`)
      .join(" ");
    return `${time}.${record.counter}  ${record.instance}  ${record.number} ` +
      `${record.name}  ${fields}`;
  });
  if (view.missing.length > 0) {
    lines.push(`no answer from: ${view.missing.join(", ")}`);
  }
  return lines.join("\n");
}
