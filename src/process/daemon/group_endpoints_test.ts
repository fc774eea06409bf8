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
  const done: string[] = [];
  const status = { groupId: "configuration", role, leaderId: "east-2" };
  const member: OperableMember = {
    status: () => status as MemberStatus,
    changeMembers: ({ kind, id }) => {
      done.push(`${kind} ${id}`);
      return Promise.resolve(Right(undefined));
    },
    declareLost: (id) => done.push(`lost ${id}`),
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
  async function ask(
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
  return { ask, done };
}

test("the owner of the data centre changes who votes", async (t) => {
  const { ask, done } = setUp("leader");
  t.is(await ask({}), "done");
  t.is(await ask({ body: '{"action":"add"}' }), "done");
  t.is(await ask({ body: '{"action":"lost"}' }), "done");
  t.deepEqual(done, ["remove east-1", "add east-1", "lost east-1"]);
});

test("whoever may not, or asks nonsense, changes nothing", async (t) => {
  const { ask, done } = setUp("leader");
  t.is(await ask({ key: "operations:wrong" }), "unauthenticated");
  t.is(await ask({ key: "quotes:right" }), "forbidden");
  t.is(await ask({ memberId: "east-9" }), "notFound");
  t.is(await ask({ body: '{"action":"promote"}' }), "malformed");
  t.is(await ask({ body: "{" }), "malformed");
  t.deepEqual(done, []);
});

test("a member that doesn't lead names the one that does", async (t) => {
  const { ask, done } = setUp("follower");
  t.is(await ask({}), "unavailable");
  t.deepEqual(done, []);
});
