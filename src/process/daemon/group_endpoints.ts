/**
 * Who votes in a group, for operators: a team that owns the member's data
 * centre takes it out, back in, or vouches that its state is lost.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import type { InstanceId, TeamId } from "../../base/identity.ts";
import { type Clock, failure, type Result } from "../../base/mod.ts";
import type { ConfigurationService } from "../configuration/configuration_service.ts";
import { keyOfCall } from "../configuration/edit_call.ts";
import {
  type HttpAnswer,
  type HttpCall,
  type HttpEndpoint,
  jsonAnswer,
} from "../http/mod.ts";
import type { MemberChange, MemberStatus } from "../replication/mod.ts";

/** What an operator may ask for. */
export const memberOrderSchema = z.strictObject({
  action: z.enum(["add", "remove", "lost"]),
});

/** What an operator asks for. */
export type MemberOrder = z.infer<typeof memberOrderSchema>;

/** The part of a group's member that operators reach. */
export interface OperableMember {
  status(): MemberStatus;
  changeMembers(
    change: MemberChange,
    options: { deadlineMs: number },
  ): Promise<Result<void>>;
  declareLost(id: InstanceId): void;
}

/** What the endpoint needs. */
export interface GroupEndpointsOptions {
  readonly clock: Clock;
  readonly members: readonly OperableMember[];
  readonly configuration: Pick<
    ConfigurationService,
    "authenticate" | "current"
  >;
  /** Every instance of the system and its data centre. */
  readonly instances: readonly { id: InstanceId; dataCentre: string }[];
  /** Where an instance answers HTTP, if that is known. */
  readonly httpAddressOf: (id: InstanceId) => string | undefined;
}

const BODY_LIMIT_BYTES = 1_024;

/** How long a change of members may take to be committed. */
const CHANGE_LIMIT_MS = 5_000;

/** `POST /v1/groups/:groupId/members/:memberId`. */
export function groupEndpoints(
  options: GroupEndpointsOptions,
): HttpEndpoint[] {
  return [{
    method: "POST",
    path: "/v1/groups/:groupId/members/:memberId",
    bodyLimitBytes: BODY_LIMIT_BYTES,
    handle: (call) => changeMember(call, options),
  }];
}

async function changeMember(
  call: HttpCall,
  options: GroupEndpointsOptions,
): Promise<Result<HttpAnswer>> {
  const { groupId = "", memberId = "" } = call.parameters;
  const allowed = await authorise(call, { ...options, memberId });
  if (allowed.isLeft()) {
    return allowed.map(() => jsonAnswer(200, {}));
  }
  const order = readOrder(call);
  const member = findMember(groupId, options);
  const task = order.chain((asked) =>
    member.map((found) => ({ ...asked, found }))
  );
  if (task.isLeft()) {
    return task.map(() => jsonAnswer(200, {}));
  }
  const { action, found } = task.unsafeCoerce();
  const done = action === "lost"
    ? declareLost(found, memberId)
    : await changeVoters(found, { kind: action, id: memberId, options });
  return done.map(() => jsonAnswer(200, found.status()));
}

/** Only the team that owns the member's data centre may change its vote. */
async function authorise(
  call: HttpCall,
  options: GroupEndpointsOptions & { memberId: InstanceId },
): Promise<Result<TeamId>> {
  const instance = options.instances.find(({ id }) => id === options.memberId);
  if (instance === undefined) {
    return failure("notFound", { detail: `no instance ${options.memberId}` });
  }
  const presented = keyOfCall(call);
  if (presented.isLeft()) {
    return presented.map(({ team }) => team);
  }
  const { configuration } = options;
  const verified = await configuration.authenticate(presented.unsafeCoerce());
  const { dataCentres } = configuration.current().document;
  const owner = dataCentres[instance.dataCentre]?.owner;
  return verified.chain(({ team }) =>
    team === owner ? Right(team) : failure("forbidden", {
      detail: `${instance.dataCentre} is owned by ${owner ?? "no team"}`,
    })
  );
}

function readOrder(call: HttpCall): Result<MemberOrder> {
  const checked = memberOrderSchema.safeParse(parseJson(call.body));
  return checked.success ? Right(checked.data) : failure("malformed", {
    detail: 'expected {"action": "add"}, "remove" or "lost"',
  });
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(body));
  } catch {
    return undefined;
  }
}

function findMember(
  groupId: string,
  options: GroupEndpointsOptions,
): Result<OperableMember> {
  const found = options.members
    .find((member) => member.status().groupId === groupId);
  return found === undefined
    ? failure("notFound", { detail: `this instance isn't in ${groupId}` })
    : Right(found);
}

function declareLost(
  member: OperableMember,
  id: InstanceId,
): Result<void> {
  member.declareLost(id);
  return Right(undefined);
}

async function changeVoters(
  member: OperableMember,
  change: MemberChange & { options: GroupEndpointsOptions },
): Promise<Result<void>> {
  const { options, kind, id } = change;
  const { role, leaderId } = member.status();
  if (role !== "leader") {
    const leaderAddress = leaderId && options.httpAddressOf(leaderId);
    return failure("unavailable", {
      detail: `only the group's leader can do this: ${leaderId ?? "none yet"}`,
      facts: { leaderId, leaderAddress },
    });
  }
  const deadlineMs = options.clock.nowMs() + CHANGE_LIMIT_MS;
  return await member.changeMembers({ kind, id }, { deadlineMs });
}
