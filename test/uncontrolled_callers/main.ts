/**
 * Plays loads of uncontrolled callers against the system's own processes, one
 * at a time. Guards against a caller that ends a process, makes it exceed the
 * memory or descriptors of its machine, or keeps it from answering others:
 *
 *     node dist/test/uncontrolled_callers/main.js FOLDER [PROGRAM [LISTENER]]
 *
 * @module
 */

import { mkdirSync, rmSync } from "node:fs";
import process from "node:process";
import { request } from "undici";
import { CALLER_LOADS, type CallerLoadName } from "./caller_loads.ts";
import { CallerProcess } from "./caller_process.ts";
import { PORTS, startSystem, type TestedProgram } from "./system_under_load.ts";

/** The memory of the smallest machine, that of an entry instance. */
const RESIDENT_LIMIT_BYTES = 210_000_000;

/** The descriptors of the smallest machine. */
const DESCRIPTOR_LIMIT = 2_212;

const CONNECTIONS = 40;

/** Enough that one request of each keeps a process busy for some time. */
const MANY_CONNECTIONS = 400;

/** More connections than a listener and the smallest machine take. */
const TOO_MANY_CONNECTIONS = 2_300;

/** How often one process gets the same load, one after the other. */
const ROUNDS = 12;

const POLL_MS = 50;

/** Bounds how long the test waits for an answer; it doesn't judge its time. */
const ANSWER_TIMEOUT_MS = 20_000;

/** Bounds the start of the processes. */
const START_TIMEOUT_MS = 20_000;

interface TestCase {
  readonly program: "door" | "core" | "daemon";
  readonly listener: string;
  readonly port: number;
  readonly path: string;
  /** The path of the ordinary request; undefined for links of peers. */
  readonly ordinaryPath: string | undefined;
  readonly plays: readonly Play[];
}

/** Connections that send one load, or several in equal shares. */
interface Play {
  readonly loads: readonly CallerLoadName[];
  readonly connections: number;
  readonly rounds: number;
}

const SOME_LOADS = ["shortLines", "manyLines", "withoutHost"] as const;
const PIPELINED_LOADS = [
  ...SOME_LOADS,
  ...["unusualLines", "newKeys", "unknownExpect", "oldVersion"] as const,
];
const LARGE_AND_UNENDED_LOADS = [
  ...["longLines", "oneLetterLines", "unendedHeads"] as const,
  ...["tinyChunks", "unendedTrailers"] as const,
];
const MIXTURE = [...PIPELINED_LOADS, ...LARGE_AND_UNENDED_LOADS];

function each(
  loads: readonly CallerLoadName[],
  options: { connections?: number; rounds?: number } = {},
): Play[] {
  const { connections = CONNECTIONS, rounds = 1 } = options;
  return loads.map((load) => ({ loads: [load], connections, rounds }));
}

/** The plays against a listener that untrusted callers reach. */
const OPEN_LISTENER_PLAYS: readonly Play[] = [
  ...each(PIPELINED_LOADS),
  ...each(LARGE_AND_UNENDED_LOADS),
  ...each(["shortLines", "manyLines", ...LARGE_AND_UNENDED_LOADS], {
    connections: MANY_CONNECTIONS,
  }),
  { loads: MIXTURE, connections: MANY_CONNECTIONS, rounds: 1 },
  ...each(["silent"], { connections: TOO_MANY_CONNECTIONS }),
  ...each(["manyLines"], { rounds: ROUNDS }),
  { loads: MIXTURE, connections: CONNECTIONS, rounds: ROUNDS },
];

const CASES: readonly TestCase[] = [
  {
    program: "daemon",
    listener: "HTTP",
    port: PORTS.daemonHttp,
    path: "/v1/services/loft-rating/requests",
    ordinaryPath: "/healthz",
    plays: OPEN_LISTENER_PLAYS,
  },
  {
    program: "daemon",
    listener: "links",
    port: PORTS.daemonPeers,
    path: "/",
    ordinaryPath: undefined,
    plays: each([...SOME_LOADS, "largeFrames"]),
  },
  {
    program: "door",
    listener: "callers",
    port: PORTS.front,
    path: "/queue/KEY",
    ordinaryPath: "/queue/5901f18c04496bb2",
    plays: OPEN_LISTENER_PLAYS,
  },
  {
    program: "door",
    listener: "readiness",
    port: PORTS.ready,
    path: "/sesamethread/ready",
    ordinaryPath: "/sesamethread/ready",
    plays: each(SOME_LOADS),
  },
  {
    program: "door",
    listener: "metrics",
    port: PORTS.metrics,
    path: "/metrics",
    ordinaryPath: "/metrics",
    plays: each(SOME_LOADS),
  },
  {
    program: "core",
    listener: "control",
    port: PORTS.control,
    path: "/sesamethread/workers",
    ordinaryPath: "/healthz",
    plays: each(SOME_LOADS),
  },
  {
    program: "core",
    listener: "calls of doors",
    port: PORTS.calls,
    path: "/",
    ordinaryPath: "/healthz",
    plays: each(SOME_LOADS),
  },
  {
    program: "core",
    listener: "links",
    port: PORTS.peers,
    path: "/",
    ordinaryPath: undefined,
    plays: each([...SOME_LOADS, "largeFrames"]),
  },
];

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Where the ordinary request of a case goes. */
function ordinaryUrl(program: TestedProgram, testCase: TestCase): string {
  if (testCase.ordinaryPath !== undefined) {
    return `http://${program.host}:${testCase.port}${testCase.ordinaryPath}`;
  }
  // A listener of links answers no requests: another listener has to.
  const port = program.name === "daemon" ? PORTS.daemonHttp : PORTS.control;
  return `http://${program.host}:${port}/healthz`;
}

/** The status of one ordinary request, sent without `keep-alive`. */
async function askOnce(url: string, timeoutMs: number): Promise<number> {
  const { statusCode, body } = await request(url, {
    reset: true,
    signal: AbortSignal.timeout(timeoutMs),
  });
  await body.dump();
  return statusCode;
}

async function waitUntilServing(url: string): Promise<void> {
  const deadlineMs = Date.now() + START_TIMEOUT_MS;
  while (Date.now() < deadlineMs) {
    try {
      await askOnce(url, START_TIMEOUT_MS);
      return;
    } catch {
      await sleep(POLL_MS);
    }
  }
  throw new Error(`${url} doesn't answer after the start`);
}

/** Plays the load for its rounds; returns what was wrong and what was seen. */
async function play(
  program: TestedProgram,
  testCase: TestCase,
  { loads, connections, rounds }: Play,
): Promise<{ faults: string[]; seen: string }> {
  const observed = program.process;
  let descriptors = 0;
  let sentBytes = 0;
  let status = 0;
  const faults: string[] = [];
  for (let round = 1; round <= rounds && faults.length === 0; round++) {
    const callers = new CallerProcess({
      loads,
      target: { host: program.host, port: testCase.port, path: testCase.path },
      connections,
    });
    await callers.waitUntilSent({
      onPoll: () => {
        if (observed.end !== undefined) {
          return false;
        }
        descriptors = Math.max(descriptors, observed.openDescriptors());
        return true;
      },
    });
    try {
      status = await askOnce(ordinaryUrl(program, testCase), ANSWER_TIMEOUT_MS);
    } catch (error) {
      faults.push(`no answer to an ordinary request: ${String(error)}`);
    }
    sentBytes += callers.sentBytes;
    await callers.close();
    if (observed.end !== undefined) {
      faults.push(`the process ended in round ${round}: ${observed.end}`);
    }
  }
  const residentBytes = observed.end === undefined
    ? observed.peakResidentBytes()
    : 0;
  // A process that is being ended has no such figure.
  if (!(residentBytes <= RESIDENT_LIMIT_BYTES)) {
    faults.push(`${residentBytes} bytes resident`);
  }
  if (descriptors > DESCRIPTOR_LIMIT) {
    faults.push(`${descriptors} descriptors`);
  }
  const seen = `${Math.round(residentBytes / 1e6)} MB, ` +
    `${descriptors} descriptors, sent ${Math.round(sentBytes / 1e6)} MB, ` +
    `answer ${status}`;
  return { faults, seen };
}

function titleOf({ loads, connections, rounds }: Play): string {
  const kind = loads.length === 1
    ? CALLER_LOADS[loads[0]!].name
    : `a mixture of ${loads.length} loads`;
  const repeated = rounds === 1 ? "" : `, ${rounds} rounds`;
  return `${connections} connections, ${kind}${repeated}`;
}

async function playAll(
  folder: string,
  only: { program: string | undefined; listener: string | undefined },
): Promise<number> {
  let failures = 0;
  let programs = startSystem(folder);
  try {
    for (const testCase of CASES) {
      if (
        (only.program ?? testCase.program) !== testCase.program ||
        (only.listener ?? testCase.listener) !== testCase.listener
      ) {
        continue;
      }
      for (const played of testCase.plays) {
        const program = programs.find(({ name }) => name === testCase.program)!;
        await waitUntilServing(ordinaryUrl(program, testCase));
        const { faults, seen } = await play(program, testCase, played);
        const title = `${program.name}, ${testCase.listener}: ${
          titleOf(played)
        }`;
        const verdict = faults.length === 0 ? "ok    " : "FAILED";
        console.log(`${verdict} ${title} (${seen}) ${faults.join("; ")}`);
        failures += faults.length === 0 ? 0 : 1;
        if (faults.length > 0) {
          // The next case starts with processes that nothing has happened to.
          await Promise.all(programs.map((each) => each.process.kill()));
          rmSync(folder, { recursive: true, force: true });
          mkdirSync(folder, { recursive: true });
          programs = startSystem(folder);
        }
      }
    }
  } finally {
    await Promise.all(programs.map((each) => each.process.kill()));
  }
  return failures;
}

const [folder = "run/uncontrolled_callers", program, listener] = process.argv
  .slice(2);
rmSync(folder, { recursive: true, force: true });
mkdirSync(folder, { recursive: true });
const failures = await playAll(folder, { program, listener });
console.log(failures === 0 ? "all held" : `${failures} cases failed`);
process.exit(failures === 0 ? 0 : 1);
