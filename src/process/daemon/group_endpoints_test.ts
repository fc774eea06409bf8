import { Buffer } from "node:buffer";
import test from "ava";
import { Right } from "purify-ts/Either";
import { failure, FakeClock } from "../../base/mod.ts";
import { documentSchema } from "../../version/document/document.ts";
import type { HttpCall } from "../http/mod.ts";
import type { MemberStatus } from "../replication/mod.ts";
import { groupEndpoints, type OperableMember } from "./group_endpoints.ts";

const DOCUMENT = documentSchema.parse({
  formatVersion: 1,
  dataCentres: { east: { owner: "operations", region: "one" } },
});

function setUp(role: MemberStatus["role"]) {
  const changes: string[] = [];
  const status = { groupId: "configuration", role, leaderId: "east-2" };
  const member: OperableMember = {
    status: () => status as MemberStatus,
    changeMembers: ({ kind, id }) => {
      changes.push(`${kind} ${id}`);
      return Promise.resolve(Right(undefined));
    },
    declareLost: (id) => changes.push(`lost ${id}`),
  };
  const [endpoint] = groupEndpoints({
    clock: new FakeClock(),
    members: [member],
    configuration: {
      current: () => ({ version: 1, document: DOCUMENT, acceptedAtMs: 0 }),
      authenticate: ({ team, key }) =>
        Promise.resolve(
          key === "right"
            ? Right({ team, keyHash: "" })
            : failure("unauthenticated"),
        ),
    },
    instances: [{ id: "east-1", dataCentre: "east" }],
    httpAddressOf: () => "127.0.0.1:9",
  });
  async function request(
    options: { key?: string; memberId?: string; body?: string },
  ): Promise<string> {
    const call = {
      parameters: {
        groupId: "configuration",
        memberId: options.memberId ?? "east-1",
      },
      headers: {
        authorization: `Bearer ${options.key ?? "operations:right"}`,
      },
      body: Buffer.from(options.body ?? '{"action":"remove"}'),
    } as unknown as HttpCall;
    const result = await endpoint?.handle(call);
    return result?.caseOf({
      Left: (error) => error.kind,
      Right: () => "done",
    }) ?? "";
  }
  return { request, changes };
}

test("the team that owns the data centre can change its voters", async (t) => {
  const { request, changes } = setUp("leader");
  t.is(await request({}), "done");
  t.is(await request({ body: '{"action":"add"}' }), "done");
  t.is(await request({ body: '{"action":"lost"}' }), "done");
  t.deepEqual(changes, ["remove east-1", "add east-1", "lost east-1"]);
});

test("unauthorised and malformed requests change nothing", async (t) => {
  const { request, changes } = setUp("leader");
  t.is(await request({ key: "operations:wrong" }), "unauthenticated");
  t.is(await request({ key: "quotes:right" }), "forbidden");
  t.is(await request({ memberId: "east-9" }), "notFound");
  t.is(await request({ body: '{"action":"promote"}' }), "malformed");
  t.is(await request({ body: "{" }), "malformed");
  t.deepEqual(changes, []);
});

test("a member that isn't the leader refuses the change", async (t) => {
  const { request, changes } = setUp("follower");
  t.is(await request({}), "unavailable");
  t.deepEqual(changes, []);
});
