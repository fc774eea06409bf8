import test from "ava";
import { setImmediate } from "node:timers/promises";
import { FakeClock } from "../../base/fake_clock.ts";
import type { EventFields } from "../../base/event_log.ts";
import { SeededRandom } from "../../base/random_source.ts";
import type { Result } from "../../base/sesame_error.ts";
import { EndpointTable } from "../http/endpoint_table.ts";
import type { HttpAnswer, HttpCall } from "../http/http_endpoint.ts";
import { FakePeerHub } from "../replication/fake_peer_network.ts";
import {
  FIXTURE_DOCUMENT,
  fixtureHash,
  fixtureKey,
  jobClassText,
  matchesFixture,
  northText,
  teamText,
} from "./configuration_fixture.ts";
import { ConfigurationService } from "./configuration_service.ts";
import {
  FakeConfigurationGroup,
  type FakeMember,
} from "./fake_configuration_group.ts";
import { KeyVerifier } from "./key_verifier.ts";

const INSTANCES = [
  { id: "south-1", dataCentre: "south" },
  { id: "north-1", dataCentre: "north" },
];

interface CallOptions {
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly query?: string;
}

class ServiceSystem {
  readonly clock = new FakeClock({ startMs: 50_000 });
  readonly group = new FakeConfigurationGroup({ clock: this.clock });
  readonly hub = new FakePeerHub({
    clock: this.clock,
    random: new SeededRandom({ seed: 1 }),
  });
  readonly logged: string[] = [];
  readonly members: FakeMember[] = [];
  readonly services: ConfigurationService[];

  constructor() {
    const peerIds = INSTANCES.map((instance) => instance.id);
    this.services = INSTANCES.map(({ id }) => {
      const member = this.group.join(id);
      this.members.push(member);
      return new ConfigurationService({
        machine: member.machine,
        log: member,
        network: this.hub.join(id, { peerIds }),
        clock: this.clock,
        events: {
          emit: (name: string, fields?: EventFields) =>
            void this.logged.push(JSON.stringify({ name, ...fields })),
        },
        instances: INSTANCES,
        keys: new KeyVerifier({ clock: this.clock, matches: matchesFixture }),
      });
    });
  }

  async start(): Promise<this> {
    await this.service(0).bootstrap(FIXTURE_DOCUMENT);
    await this.run(100);
    return this;
  }

  service(index: number): ConfigurationService {
    return this.services[index] as ConfigurationService;
  }

  member(index: number): FakeMember {
    return this.members[index] as FakeMember;
  }

  /** Advances time in steps and runs pending asynchronous work after each. */
  async run(byMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < byMs; elapsedMs += 50) {
      this.clock.advance(50);
      await setImmediate();
    }
  }

  call(
    method: HttpCall["method"],
    path: string,
    options: CallOptions = {},
  ): Promise<Result<HttpAnswer>> {
    const table = new EndpointTable({ endpoints: this.service(0).endpoints() });
    const { endpoint, parameters } = table.find(method, path).unsafeCoerce();
    const call: HttpCall = {
      method,
      path,
      parameters,
      query: new URLSearchParams(options.query ?? ""),
      headers: options.headers ?? {},
      receivedAtMs: this.clock.nowMs(),
      body: Buffer.from(options.body ?? ""),
      signal: new AbortController().signal,
    };
    return endpoint.handle(call);
  }

  put(section: string, options: {
    readonly editId: string;
    readonly team: string;
    readonly text: string;
    readonly base: number;
    readonly key?: string;
    readonly query?: string;
  }): Promise<Result<HttpAnswer>> {
    const key = options.key ?? fixtureKey(options.team);
    return this.call("PUT", `/v1/configuration/sections/${section}`, {
      body: options.text,
      query: options.query ?? "",
      headers: {
        authorization: `Bearer ${options.team}:${key}`,
        "idempotency-key": options.editId,
        "if-match": `"${options.base}"`,
      },
    });
  }

  close(): void {
    this.services.forEach((service) => service.close());
  }
}

function bodyOf(answer: Result<HttpAnswer>): Record<string, unknown> {
  return JSON.parse(String(answer.unsafeCoerce().body));
}

function errorOf(answer: Result<unknown>) {
  return answer.swap().unsafeCoerce();
}

const NORMAL = {
  editId: "edit-1",
  team: "rating",
  text: jobClassText("normal", { owner: "rating", rank: 6 }),
  base: 1,
};

test("an edit comes into force and its state can be queried", async (t) => {
  const system = await new ServiceSystem().start();
  const seen: number[] = [];
  system.service(1).versions.subscribe({
    next: (version) => void seen.push(version.version),
    error: () => undefined,
    complete: () => undefined,
  });
  const answer = await system.put("jobClasses/normal", NORMAL);
  t.like(bodyOf(answer), { state: "accepted", version: 2 });
  await system.run(200);
  t.deepEqual(seen, [2]);
  const history = bodyOf(await system.call("GET", "/v1/configuration/history"));
  t.like(history, {
    version: 2,
    entries: {
      0: {
        version: 2,
        team: "rating",
        baseVersion: 1,
        section: "jobClasses.normal",
        inForceOn: ["south-1", "north-1"],
      },
    },
  });
  const path = "/v1/configuration/edits/edit-1";
  const found = bodyOf(await system.call("GET", path));
  t.like(found, { state: "accepted", version: 2, team: "rating" });
  system.close();
});

test("a resent edit gets the lost outcome, an altered one fails", async (t) => {
  const system = await new ServiceSystem().start();
  system.member(0).losesNextAnswer = true;
  const lost = await system.put("jobClasses/normal", NORMAL);
  t.is(errorOf(lost).kind, "outcomeUnknown");
  const again = await system.put("jobClasses/normal", NORMAL);
  t.like(bodyOf(again), { state: "accepted", version: 2 });
  const other = await system.put("jobClasses/normal", { ...NORMAL, base: 2 });
  t.is(errorOf(other).kind, "identityReused");
  system.close();
});

test("a conflicting edit gets the current text and version", async (t) => {
  const system = await new ServiceSystem().start();
  await system.put("jobClasses/normal", NORMAL);
  const lost = await system.put("jobClasses/normal", {
    ...NORMAL,
    editId: "edit-2",
  });
  t.is(errorOf(lost).kind, "conflict");
  t.deepEqual(errorOf(lost).facts, {
    currentVersion: 2,
    currentText: NORMAL.text,
  });
  system.close();
});

test("a dry run reports the outcome and changes nothing", async (t) => {
  const system = await new ServiceSystem().start();
  const query = "dryRun=true";
  const dry = await system.put("jobClasses/normal", { ...NORMAL, query });
  t.like(bodyOf(dry), { state: "wouldBeAccepted", isCurrent: true });
  const team = "trips";
  const refused = await system.put("jobClasses/normal", {
    ...NORMAL,
    team,
    query,
  });
  t.is(errorOf(refused).kind, "forbidden");
  t.is(system.service(0).current().version, 1);
  system.close();
});

test("an isolated instance answers with unavailable", async (t) => {
  const system = await new ServiceSystem().start();
  system.member(0).isConnected = false;
  const edit = await system.put("jobClasses/normal", NORMAL);
  t.is(errorOf(edit).kind, "unavailable");
  const path = "/v1/configuration/edits/edit-1";
  t.is(errorOf(await system.call("GET", path)).kind, "unavailable");
  system.member(0).isConnected = true;
  t.is(errorOf(await system.call("GET", path)).kind, "notFound");
  system.close();
});

test("a removal is pending until it takes effect, then accepted", async (t) => {
  const system = await new ServiceSystem().start();
  system.member(1).isConnected = false;
  system.hub.isolate("north-1");
  const edit = {
    editId: "out-1",
    team: "operations",
    text: northText("out"),
    base: 1,
  };
  const answering = system.put("dataCentres/north", edit);
  await system.run(1_600);
  const answer = await answering;
  t.is(answer.unsafeCoerce().status, 202);
  const pending = bodyOf(answer);
  t.like(pending, { state: "pending", dataCentre: "north", version: 2 });
  t.true(Number(pending["holdsByMs"]) > system.clock.nowMs());
  await system.run(1_500);
  const path = "/v1/configuration/edits/out-1";
  t.like(bodyOf(await system.call("GET", path)), { state: "accepted" });
  t.true(system.logged.some((line) => line.includes("removalPending")));
  system.close();
});

test("a lagging copy reports a removal as pending without a time", async (t) => {
  const system = await new ServiceSystem().start();
  const lagging = system.service(1);
  const answering = lagging.edit({
    editId: "out-1",
    team: "operations",
    keyHash: fixtureHash(fixtureKey("operations")),
    sectionId: { kind: "dataCentres", name: "north" },
    baseVersion: 1,
    change: { kind: "replace", text: northText("out") },
  });
  await system.run(2_000);
  t.is((await answering).unsafeCoerce().editState?.state, "pending");
  system.member(1).isLagging = true;
  const again = lagging.edit({
    editId: "out-2",
    team: "operations",
    keyHash: fixtureHash(fixtureKey("operations")),
    sectionId: { kind: "dataCentres", name: "north" },
    baseVersion: 2,
    change: { kind: "replace", text: northText("out") },
  });
  await system.run(2_000);
  t.like((await again).unsafeCoerce().editState, {
    state: "pending",
    version: 3,
    holdsByMs: null,
  });
  system.close();
});

test("a removal is accepted once the scheduler acknowledges it", async (t) => {
  const system = await new ServiceSystem().start();
  const answering = system.put("dataCentres/north", {
    editId: "out-1",
    team: "operations",
    text: northText("out", { startPermissionMs: 60_000 }),
    base: 1,
  });
  await system.run(50);
  system.service(1).acknowledgeRemoval("north", 2);
  await system.run(400);
  t.like(bodyOf(await answering), { state: "accepted", version: 2 });
  system.close();
});

test("only teams see key hashes, and keys never appear", async (t) => {
  const system = await new ServiceSystem().start();
  const path = "/v1/configuration/sections/teams/rating";
  const anonymous = await system.call("GET", path);
  t.regex(String(anonymous.unsafeCoerce().body), /keyHashes = \[ "hidden" \]/);
  const key = fixtureKey("rating");
  const headers = { authorization: `Bearer rating:${key}` };
  const shown = await system.call("GET", path, { headers });
  t.regex(String(shown.unsafeCoerce().body), /scrypt\$/);
  const wrong = await system.put("jobClasses/normal", {
    ...NORMAL,
    key: "very-secret-wrong-key",
  });
  t.is(errorOf(wrong).kind, "unauthenticated");
  const whole = await system.call("GET", "/v1/configuration");
  t.notRegex(String(whole.unsafeCoerce().body), /scrypt/);
  const everything = system.logged.join() + JSON.stringify(errorOf(wrong)) +
    Buffer.from(system.member(0).machine.snapshot()).toString("latin1");
  t.notRegex(everything, /very-secret-wrong-key/);
  t.notRegex(everything, new RegExp(key));
  system.close();
});

test("a rotated key is rejected and the new one accepted", async (t) => {
  const system = await new ServiceSystem().start();
  await system.put("teams/rating", {
    editId: "rotate",
    team: "operations",
    text: teamText("rating", "operations", ["fresh-key"]),
    base: 1,
  });
  t.is(
    errorOf(await system.put("jobClasses/normal", NORMAL)).kind,
    "unauthenticated",
  );
  const key = "fresh-key";
  const answer = await system.put("jobClasses/normal", { ...NORMAL, key });
  t.like(bodyOf(answer), { state: "accepted", version: 3 });
  system.close();
});

test("malformed calls are refused without a proposal", async (t) => {
  const system = await new ServiceSystem().start();
  const path = "/v1/configuration/sections/jobClasses/normal";
  const key = fixtureKey("rating");
  const authorization = `Bearer rating:${key}`;
  const calls: [CallOptions, string, RegExp][] = [
    [{}, "unauthenticated", /authorization/],
    [{ headers: { authorization } }, "malformed", /edit's ID/],
    [
      { headers: { authorization, "idempotency-key": "x" } },
      "malformed",
      /version/,
    ],
    [
      {
        headers: { authorization, "idempotency-key": "x", "if-match": "1" },
        body: '[jobClasses.normal]\nowner = "rating"\nrank = "high"\n',
      },
      "malformed",
      /line 3: rank/,
    ],
  ];
  for (const [options, kind, detail] of calls) {
    const error = errorOf(await system.call("PUT", path, options));
    t.is(error.kind, kind as typeof error.kind);
    t.regex(error.message, detail);
  }
  t.is(system.group.commitIndex, 1);
  system.close();
});
