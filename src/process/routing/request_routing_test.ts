import test, { type ExecutionContext } from "ava";
import { Agent, request } from "undici";
import {
  StandinBackendServer,
  type StandinBackendServerOptions,
} from "../../../standins/backend_server/mod.ts";
import { SeededRandom, SystemClock } from "../../base/mod.ts";
import { HttpServer, metricsEndpoint, MetricsRegistry } from "../http/mod.ts";
import { LedgerState } from "../ledger/mod.ts";
import { MemoryGroup } from "../ledger/memory_group.ts";
import { FakePeerHub } from "../replication/fake_peer_network.ts";
import { fixedConfiguration } from "./fixed_configuration.ts";
import { RequestRouting } from "./request_routing.ts";

const CONFIGURATION = fixedConfiguration({
  dataCentres: ["east", "west"],
  services: {
    loft: {
      classes: [
        { name: "quote", rank: 0, defaultTimeoutMs: 5_000 },
        { name: "normal", rank: 4, defaultTimeoutMs: 5_000 },
      ],
      retryBudgetFraction: 1,
    },
  },
});

const INSTANCES = [
  { id: "e1", dataCentre: "east", region: "r" },
  { id: "e2", dataCentre: "east", region: "r" },
  { id: "w1", dataCentre: "west", region: "r" },
];

/** Instances on loopback with the real clock, over in-memory links. */
async function startSystem(t: ExecutionContext) {
  const clock = new SystemClock();
  const hub = new FakePeerHub({ clock, random: new SeededRandom({ seed: 1 }) });
  const peerIds = INSTANCES.map(({ id }) => id);
  const states = new Map(["east", "west"].map((id) => [id, new LedgerState()]));
  const groups = new Map(
    [...states].map(([groupId, state]) => [
      groupId,
      new MemoryGroup({ groupId, state }),
    ]),
  );
  const instances = await Promise.all(INSTANCES.map(async (self) => {
    const metrics = new MetricsRegistry();
    const state = states.get(self.dataCentre);
    const group = groups.get(self.dataCentre);
    if (state === undefined || group === undefined) {
      throw new Error("unknown data centre");
    }
    const log = group.member(self.id);
    const routing = new RequestRouting({
      self,
      peers: INSTANCES.filter(({ id }) => id !== self.id),
      incarnation: 1,
      clock,
      random: new SeededRandom({ seed: 1 }),
      network: hub.join(self.id, { peerIds }),
      configuration: CONFIGURATION,
      ledgerLog: log,
      ledgerState: state,
      metrics,
    });
    const httpServer = new HttpServer({
      endpoints: [...routing.endpoints, metricsEndpoint(metrics)],
      clock,
    });
    const listening = await httpServer.listen({ host: "127.0.0.1", port: 0 });
    const address = `127.0.0.1:${listening.unsafeCoerce().port}`;
    httpServer.markReady();
    return { self, routing, httpServer, address, log, metrics };
  }));
  const agent = new Agent({ connections: 400 });
  const standins: StandinBackendServer[] = [];
  t.teardown(async () => {
    standins.forEach((standin) => standin.die());
    await agent.destroy();
    await Promise.all(instances.map(async ({ routing, httpServer }) => {
      await httpServer.close({ leaveMs: 0, deadlineMs: clock.nowMs() });
      await routing.close();
    }));
  });
  const addServer = async (
    serverId: string,
    options: Partial<StandinBackendServerOptions> = {},
  ) => {
    const dataCentre = options.dataCentre ?? "east";
    const standin = new StandinBackendServer({
      serverId,
      service: "loft",
      instances: instances.filter(({ self }) => self.dataCentre === dataCentre)
        .map(({ address }) => address),
      clock,
      random: new SeededRandom({ seed: standins.length + 1 }),
      meanServiceMs: 2,
      dataCentre,
      ...options,
    });
    standins.push(standin);
    await standin.start();
    return standin;
  };
  const call = async (
    index: number,
    body: string,
    headers: Record<string, string> = {},
  ) => {
    const address = instances[index]?.address ?? "";
    const url = `http://${address}/v1/services/loft/requests`;
    const response = await request(url, {
      method: "POST",
      body,
      headers,
      dispatcher: agent,
    });
    // deno-lint-ignore no-explicit-any
    const json = await response.body.json() as any;
    return { status: response.statusCode, headers: response.headers, json };
  };
  return { instances, addServer, call, clock };
}

test("a caller gets the complete answer to its own request", async (t) => {
  const { addServer, call } = await startSystem(t);
  await addServer("s1");
  const { status, headers, json } = await call(0, "loft of bale 7");
  t.is(status, 200);
  t.is(headers["sesamethread-server"], "s1");
  t.is(json.body, "loft of bale 7");
  t.is(json.requestId, headers["sesamethread-request"]);
});

test("an announcement to one instance reaches its data centre", async (t) => {
  const { addServer, call } = await startSystem(t);
  await addServer("s1");
  const answers = await Promise.all([call(0, "a"), call(1, "b")]);
  t.deepEqual(answers.map(({ json }) => json.body), ["a", "b"]);
});

test("a retry through another instance gets the same answer", async (t) => {
  const { addServer, call } = await startSystem(t);
  const server = await addServer("s1");
  for (const requestId of ["east:order-1", "west:order-2", "order-3"]) {
    const headers = { "sesamethread-request": requestId };
    const first = await call(0, "bale", headers);
    const second = await call(1, "bale", headers);
    t.is(first.status, 200);
    t.deepEqual(second.json, first.json);
    t.is(second.headers["sesamethread-recorded"], "true");
    t.is(server.activity.runs.get(requestId), 1);
    const other = await call(1, "other bale", headers);
    t.is(other.json.error.kind, "identityReused");
  }
});

test("concurrent tries of a request run once", async (t) => {
  const { addServer, call } = await startSystem(t);
  const server = await addServer("s1", { meanServiceMs: 50 });
  const headers = { "sesamethread-request": "order-1" };
  const answers = await Promise.all(
    [0, 1, 0, 1].map((index) => call(index, "bale", headers)),
  );
  answers.forEach(({ json }) => t.is(json.body, "bale"));
  t.is(server.activity.runs.get("order-1"), 1);
});

test("nothing is sent while the home's ledger is unavailable", async (t) => {
  const { addServer, call, instances } = await startSystem(t);
  const server = await addServer("s1");
  instances.forEach(({ log }) => log.fault = "unavailable");
  const headers = { "sesamethread-request": "east:order-1" };
  const { json } = await call(0, "bale", headers);
  t.is(json.error.kind, "outcomeUnknown");
  t.is(json.error.facts.isSentNow, false);
  t.is(server.activity.runs.size, 0);
});

const WRONG_ANSWERS = ["crossed", "truncated", "drop"] as const;

for (const fault of WRONG_ANSWERS) {
  test(`a claimed request with a ${fault} answer ends as unknown`, async (t) => {
    const { addServer, call, instances } = await startSystem(t);
    const servers = [await addServer("s1"), await addServer("s2")];
    servers.forEach((server) =>
      server.setFaults({ fault, fraction: 1, slowFactor: 1 })
    );
    const headers = { "sesamethread-request": "order-1" };
    const first = await call(0, "bale", headers);
    const second = await call(1, "bale", headers);
    t.is(first.json.error.kind, "outcomeUnknown");
    t.is(second.json.error.kind, "outcomeUnknown");
    const runs = servers.map(({ activity }) =>
      activity.runs.get("order-1") ?? 0
    );
    t.is((runs[0] ?? 0) + (runs[1] ?? 0), 1);
    if (fault !== "drop") {
      t.regex(
        instances[0]?.metrics.render() ?? "",
        new RegExp(`answer_faults_total{fault="${fault}"} 1`),
      );
    }
  });

  test(`an idempotent request with a ${fault} answer is retried`, async (t) => {
    const { addServer, call } = await startSystem(t);
    const bad = await addServer("s1");
    await addServer("s2");
    bad.setFaults({ fault, fraction: 1, slowFactor: 1 });
    const headers = { "sesamethread-idempotent": "true" };
    for (let index = 0; index < 10; index += 1) {
      const { json } = await call(0, `ask ${index}`, headers);
      t.is(json.body, `ask ${index}`);
    }
  });
}

test("a doubled answer reaches no other caller", async (t) => {
  const { addServer, call } = await startSystem(t);
  const server = await addServer("s1", { meanServiceMs: 1 });
  server.setFaults({ fault: "doubled", fraction: 1, slowFactor: 1 });
  for (let index = 0; index < 20; index += 1) {
    const { json, headers } = await call(0, `ask ${index}`, {
      "sesamethread-idempotent": "true",
    });
    const isOwn = json.body === `ask ${index}` &&
      json.requestId === headers["sesamethread-request"];
    t.true(isOwn || json.error?.kind === "outcomeUnknown");
  }
});

test("a late answer is kept for the caller's retry only", async (t) => {
  const { addServer, call, instances } = await startSystem(t);
  const server = await addServer("s1");
  await call(0, "first");
  server.setFaults({ fault: "late", fraction: 1, slowFactor: 1 });
  const headers = {
    "sesamethread-request": "order-1",
    "sesamethread-timeout-ms": "1500",
  };
  const first = await call(0, "bale", headers);
  t.is(first.json.error.kind, "outcomeUnknown");
  const longTimeout = { ...headers, "sesamethread-timeout-ms": "20000" };
  const second = await call(1, "bale", longTimeout);
  t.is(second.json.body, "bale");
  t.is(server.activity.runs.get("order-1"), 1);
  t.regex(instances[0]?.metrics.render() ?? "", /fault="late"} 1/);
});

test("a request is forwarded when its data centre has no server", async (t) => {
  const { addServer, call, instances } = await startSystem(t);
  await addServer("far", { dataCentre: "west" });
  const large = "x".repeat(300_000);
  const headers = { "sesamethread-request": "order-1" };
  let answer = await call(0, large, headers);
  while (answer.json.error?.kind === "deadlineExceeded") {
    answer = await call(0, large, headers);
  }
  t.is(answer.json.error, undefined);
  t.is(answer.json.body.length, large.length);
  t.is(answer.headers["sesamethread-request"], "order-1");
  t.regex(
    instances[0]?.metrics.render() ?? "",
    /forwards_total{end="answered"} 1/,
  );
});

test("malformed calls of callers and servers are refused", async (t) => {
  const { call, instances } = await startSystem(t);
  const cases = [
    { "sesamethread-request": "bad identity" },
    { "sesamethread-timeout-ms": "-1" },
    { "sesamethread-idempotent": "perhaps" },
    { "sesamethread-path": "no-slash" },
  ];
  for (const headers of cases) {
    const { json } = await call(0, "", headers as Record<string, string>);
    t.is(json.error.kind, "malformed");
  }
  const wrongClass = await call(0, "", { "sesamethread-class": "none" });
  t.is(wrongClass.json.error.kind, "invalid");
  const announcement = await request(
    `http://${instances[0]?.address}/v1/backends/s1/announce`,
    { method: "POST", body: JSON.stringify({ service: "loft" }) },
  );
  t.is(announcement.statusCode, 400);
});

test("a stop under load loses and repeats no request", async (t) => {
  const { addServer, call, instances, clock } = await startSystem(t);
  const server = await addServer("s1", { meanServiceMs: 5 });
  const requests = Array.from(
    { length: 200 },
    (_, index) =>
      call(0, `bale ${index}`, {
        "sesamethread-request": `order-${index}`,
        "sesamethread-timeout-ms": "30000",
      }),
  );
  let answered = 0;
  requests.forEach((request) => void request.then(() => answered++));
  const [first] = instances;
  while ((first?.httpServer.calls ?? 0) + answered < 200) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  const deadlineMs = clock.nowMs() + 30_000;
  const stopped = first?.httpServer.close({ leaveMs: 0, deadlineMs })
    .then(() => first.routing.drain({ deadlineMs }));
  const answers = await Promise.all(requests);
  answers.forEach(({ json }, index) => t.is(json.body, `bale ${index}`));
  await stopped;
  t.is(server.activity.runs.size, 200);
  t.true([...server.activity.runs.values()].every((runs) => runs === 1));
  t.true(server.activity.mostAtOnce <= 8);
});
