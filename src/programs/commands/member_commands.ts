/**
 * `member add|remove|lost`: changes who votes in a group.
 *
 * @module
 */

import type { Result } from "../../base/sesame_error.ts";
import { ApiClient } from "./api_client.ts";
import { type CommandContext, report } from "./command_context.ts";
import { requireKey } from "./config/mod.ts";

/** What `member` is asked for. */
export interface MemberOptions {
  readonly action: "add" | "remove" | "lost";
  readonly group: string;
  readonly member: string;
  /** `team:key` of the team that owns the member's data centre. */
  readonly key?: string;
}

/** Asks the instance, and its group's leader when only that can do it. */
export async function changeMember(
  context: CommandContext,
  options: MemberOptions,
): Promise<number> {
  const key = requireKey(options.key);
  if (key.isLeft()) {
    return report(context, { result: key, render: String });
  }
  const send = (client: ApiClient) =>
    sendOrder(client, { ...options, key: key.unsafeCoerce() });
  const first = await send(context.client);
  const leaderAddress = first.swap().toMaybe().extract()
    ?.facts["leaderAddress"];
  const result = typeof leaderAddress === "string"
    ? await send(new ApiClient({ servers: [leaderAddress] }))
    : first;
  return report(context, {
    result,
    render: (status) => {
      const { voterIds } = status as { voterIds: readonly string[] };
      return `${options.group} votes by ${voterIds.join(", ")}`;
    },
  });
}

function sendOrder(
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
