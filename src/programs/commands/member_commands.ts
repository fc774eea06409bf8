/**
 * `member add|remove|lost`: changes the voters of a replication group.
 *
 * @module
 */

import type { Result } from "../../base/sesame_error.ts";
import type { ApiClient } from "./api_client.ts";
import { type CommandContext, printResult } from "./command_context.ts";
import { requireKey } from "./config/mod.ts";

/** Options of `member`. */
export interface MemberOptions {
  readonly action: "add" | "remove" | "lost";
  readonly group: string;
  readonly member: string;
  /** `team:key` of the team that owns the member's data centre. */
  readonly key?: string;
}

/**
 * Sends the change to the instance, and then to the group's leader if the
 * instance's error names one; returns the exit code.
 */
export async function changeMember(
  context: CommandContext,
  options: MemberOptions,
): Promise<number> {
  const key = requireKey(options.key);
  if (key.isLeft()) {
    return printResult(context, { result: key, render: String });
  }
  const send = (client: ApiClient) =>
    sendMemberChange(client, { ...options, key: key.unsafeCoerce() });
  const firstResult = await send(context.client);
  const leaderAddress = firstResult.swap().toMaybe().extract()
    ?.facts["leaderAddress"];
  const result = typeof leaderAddress === "string"
    ? await send(context.client.forServer(leaderAddress))
    : firstResult;
  return printResult(context, {
    result,
    render: (status) => {
      const { voterIds } = status as { voterIds: readonly string[] };
      return `voters of ${options.group}: ${voterIds.join(", ")}`;
    },
  });
}

function sendMemberChange(
  client: ApiClient,
  options: MemberOptions & { key: string },
): Promise<Result<unknown>> {
  const group = encodeURIComponent(options.group);
  const member = encodeURIComponent(options.member);
  return client.json({
    method: "POST",
    path: `/v1/groups/${group}/members/${member}`,
    headers: { authorization: `Bearer ${options.key}` },
    body: JSON.stringify({ action: options.action }),
  });
}
