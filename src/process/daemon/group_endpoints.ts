/**
 * Lets operators change the voters of a replication group. The team that owns
 * a member's data centre can add or remove it or declare its state lost.
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

/** The body of a member change request. */
export const memberChangeRequestSchema = z.strictObject({
  action: z.enum(["add", "remove", "lost"]),
});

/** A change to one member of a group, requested by an operator. */
export type MemberChangeRequest = z.infer<typeof memberChangeRequestSchema>;

/** The operations of a group's member that operators can call. */
export interface OperableMember {
  status(): MemberStatus;
  changeMembers(
    change: MemberChange,
    options: { deadlineMs: number },
  ): Promise<Result<void>>;
  declareLost(id: InstanceId): void;
}

/** Options of {@link groupEndpoints}. */
export interface GroupEndpointsOptions {
  readonly clock: Clock;
  readonly members: readonly OperableMember[];
  readonly configuration: Pick<
    ConfigurationService,
    "authenticate" | "current"
  >;
  /** Every instance of the system and its data centre. */
  readonly instances: readonly { id: InstanceId; dataCentre: string }[];
  /** The HTTP address of an instance, if known. */
  readonly httpAddressOf: (id: InstanceId) => string | undefined;
}

const BODY_LIMIT_BYTES = 1_024;

/** Timeout of the commit of a member change. */
const CHANGE_TIMEOUT_MS = 5_000;

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
  const authorised = await authorise(call, { ...options, memberId });
  if (authorised.isLeft()) {
    return authorised.map(() => jsonAnswer(200, {}));
  }
  const request = readChangeRequest(call);
  const member = findMember(groupId, options);
  const change = request.chain((requested) =>
    member.map((found) => ({ ...requested, found }))
  );
  if (change.isLeft()) {
    return change.map(() => jsonAnswer(200, {}));
  }
  const { action, found } = change.unsafeCoerce();
  const result = action === "lost"
    ? declareLost(found, memberId)
    : await changeVoters(found, { kind: action, id: memberId, options });
  return result.map(() => jsonAnswer(200, found.status()));
}

/** Checks that the call's key belongs to the owner of the data centre. */
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

function readChangeRequest(call: HttpCall): Result<MemberChangeRequest> {
  const checked = memberChangeRequestSchema.safeParse(parseJson(call.body));
  return checked.success ? Right(checked.data) : failure("malformed", {
    detail: 'expected {"action": "add" | "remove" | "lost"}',
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
    ? failure("notFound", {
      detail: `this instance isn't a member of group ${groupId}`,
    })
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
      detail: `only the group's leader can do this; leader: ${
        leaderId ?? "unknown"
      }`,
      facts: { leaderId, leaderAddress },
    });
  }
  const deadlineMs = options.clock.nowMs() + CHANGE_TIMEOUT_MS;
  return await member.changeMembers({ kind, id }, { deadlineMs });
}
