import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { Right } from "purify-ts/Either";
import { ERROR_ANSWERS } from "../../base/error_kind.ts";
import { ApiClient } from "./api_client.ts";
import type { CommandContext } from "./command_context.ts";
import { showJob, submitJob } from "./job_commands.ts";
import { changeMember } from "./member_commands.ts";

interface CannedResponse {
  readonly status: number;
  readonly body: unknown;
}

async function startServer(canned: CannedResponse): Promise<{
  server: Server;
  address: string;
  received: string[];
}> {
  const received: string[] = [];
  const server = createServer((request, response) => {
    received.push(`${request.method} ${request.url}`);
    response.writeHead(canned.status).end(JSON.stringify(canned.body));
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return { server, address: `127.0.0.1:${port}`, received };
}

function createContext(servers: string[], printed: string[]): CommandContext {
  return {
    client: new ApiClient({ servers }),
    wantsJson: false,
    io: {
      out: (text) => printed.push(text),
      error: (text) => printed.push(text),
      read: () => Promise.resolve(Right('jobClass = "urgent"\n')),
    },
  };
}

const JOB = {
  jobId: "j-1",
  dataCentre: "east",
  state: "queued",
  waitText: "the data centre is out",
  pastAttempts: [],
  specification: {
    clientAccount: "a",
    jobClass: "urgent",
    tasks: 2,
    resources: { accelerators: 8 },
  },
};

test("the next instance is called once if a connection is refused", async (t) => {
  const closed = await startServer({ status: 200, body: {} });
  closed.server.close();
  await once(closed.server, "close");
  const { server, address, received } = await startServer({
    status: 200,
    body: { job: JOB, unaskedDataCentres: ["west"] },
  });
  const printed: string[] = [];
  const context = createContext([closed.address, address], printed);
  t.is(await showJob(context, { jobId: "j-1" }), 0);
  t.deepEqual(received, ["GET /v1/jobs/j-1"]);
  t.regex(printed[0] ?? "", /queued: the data centre is out/);
  t.regex(printed[0] ?? "", /out of reach: west/);
  server.close();
});

test("the error kind sets the exit code, and the detail is printed", async (t) => {
  const { server, address } = await startServer({
    status: 422,
    body: { error: { kind: "neverFits", detail: "A rack holds 4." } },
  });
  const printed: string[] = [];
  const code = await submitJob(createContext([address], printed), {
    file: "f",
  });
  t.is(code, ERROR_ANSWERS.neverFits.exitCode);
  t.deepEqual(printed, ["neverFits: A rack holds 4."]);
  server.close();
});

test("a response that is not JSON is reported as an error", async (t) => {
  const { server, address } = await startServer({
    status: 200,
    body: undefined,
  });
  const printed: string[] = [];
  const code = await showJob(createContext([address], printed), { jobId: "j" });
  t.is(code, ERROR_ANSWERS.internal.exitCode);
  server.close();
});

test("the leader that an instance names is called with the tool's timeout", async (t) => {
  // It accepts connections and never answers.
  const leader = createServer().listen(0, "127.0.0.1");
  await once(leader, "listening");
  const { port } = leader.address() as AddressInfo;
  const { server, address } = await startServer({
    status: 503,
    body: {
      error: {
        kind: "unavailable",
        facts: { leaderAddress: `127.0.0.1:${port}` },
      },
    },
  });
  const printed: string[] = [];
  const code = await changeMember({
    ...createContext([], printed),
    client: new ApiClient({ servers: [address], timeoutMs: 50 }),
  }, { action: "add", group: "g", member: "m", key: "team:key" });
  t.is(code, ERROR_ANSWERS.outcomeUnknown.exitCode);
  leader.closeAllConnections();
  [leader, server].forEach((each) => each.close());
});
