import test from "ava";
import fc from "fast-check";
import { readFileSync } from "node:fs";
import { ERROR_ANSWERS } from "../../src/base/error_kind.ts";
import type { Result } from "../../src/base/sesame_error.ts";
import { decodeFrame, encodeFrame } from "../../src/connection/peer_frame.ts";
import { EndpointTable } from "../../src/process/http/endpoint_table.ts";
import { readJsonBody } from "../../src/process/jobs/json_body.ts";
import { jobSpecificationSchema } from "../../src/process/scheduler/core/job.ts";
import { announcementBodySchema } from "../../src/process/routing/core/server_announcement.ts";
import { workerReportSchema } from "../../src/process/scheduler/runtime/worker_report.ts";
import { jobEndpoints, workerEndpoints } from "../../src/process/jobs/mod.ts";
import { parseSettings } from "../../src/process/settings/mod.ts";
import { parseDocument, parseSection } from "../../src/version/mod.ts";
import { SystemSimulation } from "../system/system_simulation.ts";
import { dataCentreText, SYSTEM_DOCUMENT } from "../system/system_document.ts";
import { mutatedText } from "./mutated_text.ts";

const RUNS = { numRuns: 1_500, seed: 11 };

const JOB = JSON.stringify({
  jobId: "j1",
  clientAccount: "buyers",
  jobClass: "normal",
  tasks: 2,
  resources: { cores: 1, memoryBytes: 1, accelerators: 1 },
  declaredRunMs: 1_000,
  command: ["run", "10"],
});

const REPORT = JSON.stringify({
  protocolVersion: 1,
  workerId: "w1",
  incarnation: 1,
  workerClockMs: 5,
  highestTerm: 0,
  isLeaving: false,
  tasks: [{ jobId: "j1", attempt: 1, taskIndex: 0, state: "running" }],
  address: "127.0.0.1:1",
  rack: "r1",
  cores: 1,
  memoryBytes: 1,
  accelerators: 1,
});

/** Whether the result is a value, or a listed error other than `internal`. */
function isValueOrKnownError(result: Result<unknown>): boolean {
  return result.caseOf({
    Left: ({ kind }) =>
      Object.hasOwn(ERROR_ANSWERS, kind) && kind !== "internal",
    Right: () => true,
  });
}

/** Checks that no input makes `read` throw; returns how many it rejects. */
function countRejected(
  inputs: fc.Arbitrary<string>,
  read: (text: string) => Result<unknown>,
): number {
  let rejected = 0;
  fc.assert(
    fc.property(inputs, (text) => {
      const result = read(text);
      rejected += result.isLeft() ? 1 : 0;
      return isValueOrKnownError(result);
    }),
    RUNS,
  );
  return rejected;
}

test("mutated documents and sections are parsed or rejected without an internal error", (t) => {
  t.true(
    countRejected(mutatedText(SYSTEM_DOCUMENT), (text) => parseDocument(text)) >
      500,
  );
  const sectionId = { kind: "dataCentres", name: "north" } as const;
  const section = mutatedText(dataCentreText("north", "out"));
  t.true(countRejected(section, (text) => parseSection(sectionId, text)) > 500);
});

test("mutated settings are parsed or rejected without an internal error", (t) => {
  const valid = readFileSync(
    "examples/lakeshore/settings/london-on-1.toml",
    "utf8",
  );
  const read = (text: string) => parseSettings(text, { path: "settings.toml" });
  t.true(read(valid).isRight());
  t.true(countRejected(mutatedText(valid), read) > 300);
});

test("mutated jobs and worker reports are parsed or rejected without an internal error", (t) => {
  const bytes = (text: string) => new TextEncoder().encode(text);
  t.true(
    countRejected(
      mutatedText(JOB),
      (text) => readJsonBody(bytes(text), jobSpecificationSchema),
    ) > 500,
  );
  t.true(
    countRejected(
      mutatedText(REPORT),
      (text) => readJsonBody(bytes(text), workerReportSchema),
    ) > 500,
  );
});

test("mutated frames are decoded or rejected without an internal error", (t) => {
  const valid = encodeFrame({
    kind: "message",
    channel: "c",
    wallMs: 1,
    counter: 0,
    body: { a: [1, 2, 3], b: "text" },
  });
  const mutated = fc.array(
    fc.tuple(fc.nat({ max: valid.length - 1 }), fc.nat({ max: 255 })),
    { minLength: 1, maxLength: 4 },
  ).map((changes) => {
    const bytes = Uint8Array.from(valid);
    changes.forEach(([at, value]) => bytes[at] = value);
    return bytes;
  });
  const inputs = fc.oneof(mutated, fc.uint8Array({ maxLength: 64 }));
  fc.assert(
    fc.property(inputs, (bytes) => isValueOrKnownError(decodeFrame(bytes))),
    RUNS,
  );
  t.pass();
});

/** Method, path and body of valid calls. */
const CALL_TEMPLATES: readonly (readonly [string, string, string])[] = [
  ["POST", "/v1/jobs", JOB],
  ["GET", "/v1/jobs", ""],
  ["GET", "/v1/jobs/j1", ""],
  ["DELETE", "/v1/jobs/j1", ""],
  ["POST", "/v1/workers/w1/report", REPORT],
  ["POST", "/v1/services/loft/requests", "bale"],
  ["POST", "/v1/backends/b1/announce", '{"service":"loft"}'],
  ["GET", "/v1/configuration", ""],
  ["GET", "/v1/configuration/history", ""],
  ["GET", "/v1/configuration/sections/teams/operations", ""],
  [
    "PUT",
    "/v1/configuration/sections/dataCentres/north",
    dataCentreText("north", "in"),
  ],
  ["DELETE", "/v1/configuration/sections/teams/operations", ""],
];

const HEADER_NAMES = [
  "authorization",
  "idempotency-key",
  "if-match",
  "content-type",
  "sesamethread-request-id",
  "sesamethread-class",
  "sesamethread-timeout-ms",
  "sesamethread-idempotent",
  "sesamethread-path",
];

const calls = fc.constantFrom(...CALL_TEMPLATES).chain(([method, path, body]) =>
  fc.record({
    method: fc.oneof(
      { weight: 5, arbitrary: fc.constant(method) },
      { weight: 1, arbitrary: fc.constantFrom("PATCH", "PUT", "__proto__") },
    ),
    path: fc.oneof(
      { weight: 4, arbitrary: fc.constant(path) },
      { weight: 2, arbitrary: mutatedText(path) },
    ),
    query: fc.dictionary(fc.constantFrom("limit", "atMs"), fc.string()),
    headers: fc.dictionary(
      fc.constantFrom(...HEADER_NAMES),
      fc.oneof(
        fc.string(),
        fc.constantFrom("Bearer operations:key-of-operations", "1", "e-1"),
      ),
    ),
    body: mutatedText(body).map((text) => new TextEncoder().encode(text)),
  })
);

test("mutated HTTP calls are answered or rejected without an internal error", async (t) => {
  const simulation = new SystemSimulation();
  await simulation.open();
  const node = simulation.node("n1");
  if (node === undefined) {
    t.fail("n1 is down");
    return;
  }
  const { scheduler } = node;
  const table = new EndpointTable({
    endpoints: [
      ...node.routing.endpoints,
      ...node.configuration.endpoints(),
      ...jobEndpoints({ scheduler }),
      ...workerEndpoints({ scheduler }),
    ],
  });
  let handled = 0;
  await fc.assert(
    fc.asyncProperty(calls, async (call) => {
      const route = table.find(call.method, call.path);
      if (route.isLeft()) {
        return isValueOrKnownError(route);
      }
      handled += 1;
      const { endpoint, parameters } = route.unsafeCoerce();
      const result = await simulation.finish(endpoint.handle({
        ...call,
        parameters,
        query: new URLSearchParams(call.query),
        receivedAtMs: simulation.clock.nowMs(),
        signal: new AbortController().signal,
      }));
      return isValueOrKnownError(result);
    }),
    { numRuns: 500, seed: 12 },
  );
  simulation.close();
  t.true(handled > 200);
});

// Guards against an announced address that no connection can be opened to.
test("announced addresses have a port that can be connected to", (t) => {
  const report = JSON.parse(REPORT) as Record<string, unknown>;
  const announcement = {
    service: "clearance",
    address: "127.0.0.1:1",
    slots: 1,
    dataCentre: "east",
    incarnation: 1,
  };
  for (
    const [schema, body] of [
      [workerReportSchema, report],
      [announcementBodySchema, announcement],
    ] as const
  ) {
    t.true(schema.safeParse(body).success);
    for (const address of ["127.0.0.1:0", "127.0.0.1:99999", "1.2.3.999:1"]) {
      t.false(schema.safeParse({ ...body, address }).success, address);
    }
  }
});
