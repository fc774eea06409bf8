/**
 * Measures bytes and processor time of a worker's reports and lease renewals by
 * its number of tasks: over HTTP on loopback, and as the frame that an instance
 * forwards to the leader.
 *
 * @module
 */

import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { decodeFrame, encodeFrame } from "../../src/connection/peer_frame.ts";
import { decodeSchedulerMessage } from "../../src/process/scheduler/runtime/scheduler_message.ts";
import {
  HttpWorkerClient,
  type WorkerReport,
  workerReportSchema,
} from "../../src/process/scheduler/runtime/mod.ts";
import {
  type WorkerAnswer,
  type WorkerCommand,
} from "../../src/process/scheduler/runtime/worker_command.ts";
import { workerHoldingsSchema } from "../../src/process/scheduler/runtime/worker_report.ts";
import { fitLine, type Line, rounded } from "./fit.ts";

/** The figures of a worker with the given number of tasks. */
export interface WorkerTraffic {
  readonly tasks: number;
  /** JSON of a report without and with the tasks' resource usage. */
  readonly reportBytes: number;
  readonly reportWithUsagesBytes: number;
  /** The frames in which the same reports are forwarded to the leader. */
  readonly passedReportBytes: number;
  readonly passedReportWithUsagesBytes: number;
  /** TCP payload of one renewal: to the worker and back. */
  readonly renewalSentBytes: number;
  readonly renewalReceivedBytes: number;
  /** Parsing and validating one report from JSON and from a frame. */
  readonly readReportMicroseconds: number;
  readonly readFrameMicroseconds: number;
  /** Processor time of both ends of one renewal over HTTP, in this process. */
  readonly renewalBothEndsMicroseconds: number;
}

const TASK_COUNTS = [0, 5, 10, 20, 40];
/** Rounds whose figures are discarded, since the code is compiled in them. */
const WARM_UP_ROUNDS = 2;
const WARM_UP_TASKS = 20;
const READ_ROUNDS = 1_000;
/** Calls in one round; the result is the median of the rounds but the first. */
const CALLS_PER_ROUND = 300;
const CALL_ROUNDS = 6;
const TOTAL_CALLS = CALLS_PER_ROUND * CALL_ROUNDS;
const WALL_MS = 1_764_840_000_000.5;

/** Measures each number of tasks, and fits a line to each figure. */
export async function measureWorkerTraffic(): Promise<{
  points: WorkerTraffic[];
  lines: Record<string, Line>;
}> {
  const points: WorkerTraffic[] = [];
  for (let at = 0; at < WARM_UP_ROUNDS; at++) {
    await measureAt(WARM_UP_TASKS);
  }
  for (const tasks of TASK_COUNTS) {
    points.push(await measureAt(tasks));
  }
  const { tasks: _, ...values } = points[0] as WorkerTraffic;
  const names = Object.keys(values) as (keyof typeof values)[];
  const lines = Object.fromEntries(names.map((name) => [
    name,
    fitLine(points.map((each) => ({ size: each.tasks, value: each[name] }))),
  ]));
  return { points, lines };
}

async function measureAt(tasks: number): Promise<WorkerTraffic> {
  const bareReport = makeReport(tasks, { hasUsages: false });
  const reportWithUsages = makeReport(tasks, { hasUsages: true });
  const text = JSON.stringify(bareReport);
  const frame = encodeReport(bareReport);
  return {
    tasks,
    reportBytes: Buffer.byteLength(text),
    reportWithUsagesBytes: Buffer.byteLength(JSON.stringify(reportWithUsages)),
    passedReportBytes: frame.length,
    passedReportWithUsagesBytes: encodeReport(reportWithUsages).length,
    ...await measureRenewals(bareReport),
    readReportMicroseconds: meanMicroseconds(() =>
      workerReportSchema.parse(JSON.parse(text))
    ),
    readFrameMicroseconds: meanMicroseconds(() =>
      decodeFrame(frame).chain((each) =>
        decodeSchedulerMessage(each.kind === "message" ? each.body : each)
      )
    ),
  };
}

function meanMicroseconds(work: () => unknown): number {
  for (let at = 0; at < READ_ROUNDS; at++) {
    work();
  }
  const before = performance.now();
  for (let at = 0; at < READ_ROUNDS; at++) {
    work();
  }
  return rounded((performance.now() - before) * 1_000 / READ_ROUNDS);
}

function encodeReport(report: WorkerReport): Uint8Array {
  return encodeFrame({
    kind: "message",
    channel: "scheduler",
    wallMs: WALL_MS,
    counter: 1,
    body: { kind: "workerReport", report },
  });
}

/** A report of a worker whose tasks belong to different jobs, with UUIDs. */
function makeReport(
  tasks: number,
  options: { hasUsages: boolean },
): WorkerReport {
  const held = Array.from({ length: tasks }, (_, at) => ({
    jobId: jobIdOf(at),
    attempt: 1,
    taskIndex: at,
  }));
  return workerReportSchema.parse({
    protocolVersion: 1,
    workerId: "dc1-rack07-worker5",
    incarnation: 1_764_840_000_000,
    workerClockMs: WALL_MS,
    highestTerm: 12,
    isLeaving: false,
    tasks: held.map((task) => ({ ...task, state: "running" })),
    address: "10.20.30.40:9001",
    rack: "rack-07",
    cores: 128,
    memoryBytes: 256e9,
    accelerators: 8,
    usages: options.hasUsages ? held.map(makeUsage) : [],
  });
}

function makeUsage<T>(task: T) {
  return {
    ...task,
    cores: 3.271,
    memoryBytes: 7_516_192_768,
    accelerators: 0.4,
    checkpointAgeMs: 312_345.5,
  };
}

function jobIdOf(at: number): string {
  return `5f0c2d9e-7b1a-4c3d-9e8f-${String(at).padStart(12, "0")}`;
}

async function measureRenewals(report: WorkerReport) {
  const answer: WorkerAnswer = { holdings: holdingsOf(report) };
  const worker = await startWorkerServer(JSON.stringify(answer));
  const client = new HttpWorkerClient();
  const { port } = worker.server.address() as AddressInfo;
  const call = async () => {
    const address = `127.0.0.1:${port}`;
    const command = makeRenewal(report);
    const result = await client.call(address, command, { timeoutMs: 5_000 });
    result.unsafeCoerce();
  };
  const before = countSocketBytes(worker.sockets);
  const times: number[] = [];
  for (let round = 0; round < CALL_ROUNDS; round++) {
    times.push(await measureCallCpu(call));
  }
  const after = countSocketBytes(worker.sockets);
  await client.close();
  worker.server.close();
  await once(worker.server, "close");
  return {
    renewalSentBytes: Math.round((after.read - before.read) / TOTAL_CALLS),
    renewalReceivedBytes: Math.round(
      (after.written - before.written) / TOTAL_CALLS,
    ),
    renewalBothEndsMicroseconds: medianOf(times.slice(1)),
  };
}

/** Processor time of both ends of one call, in microseconds. */
async function measureCallCpu(call: () => Promise<unknown>): Promise<number> {
  const usage = process.cpuUsage();
  for (let at = 0; at < CALLS_PER_ROUND; at++) {
    await call();
  }
  const { user, system } = process.cpuUsage(usage);
  return rounded((user + system) / CALLS_PER_ROUND);
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function holdingsOf(report: WorkerReport): WorkerAnswer["holdings"] {
  const {
    workerId,
    incarnation,
    workerClockMs,
    highestTerm,
    isLeaving,
    tasks,
  } = report;
  return workerHoldingsSchema.parse({
    workerId,
    incarnation,
    workerClockMs,
    highestTerm,
    isLeaving,
    tasks,
  });
}

function makeRenewal(report: WorkerReport): WorkerCommand {
  return {
    kind: "renew",
    fence: {
      protocolVersion: 1,
      term: 12,
      incarnation: report.incarnation,
      validUntilMs: WALL_MS + 1_000,
    },
    leases: report.tasks.map(({ jobId, attempt }) => ({
      jobId,
      attempt,
      leaseEndMs: WALL_MS + 10_000,
    })),
    forget: [],
  };
}

async function startWorkerServer(
  answer: string,
): Promise<{ server: Server; sockets: Set<Socket> }> {
  const sockets = new Set<Socket>();
  const server = createServer((request, response) => {
    request.resume();
    request.on("end", () => {
      response.setHeader("content-type", "application/json");
      response.end(answer);
    });
  });
  server.on("connection", (socket) => sockets.add(socket));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return { server, sockets };
}

function countSocketBytes(
  sockets: Set<Socket>,
): { read: number; written: number } {
  const all = [...sockets];
  return {
    read: all.reduce((sum, socket) => sum + socket.bytesRead, 0),
    written: all.reduce((sum, socket) => sum + socket.bytesWritten, 0),
  };
}
