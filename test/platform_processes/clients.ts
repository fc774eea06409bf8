/**
 * The operator and the clients of a test on the platform's programs.
 *
 * @module
 */

import { request } from "undici";
import { delay } from "../process/cluster.ts";
import { type PlatformLayout, PORTS } from "./layout.ts";
import type { TaskShape } from "./pool_worker.ts";
import type { Programs } from "./programs.ts";

/** The only step of a job. */
export interface JobShape extends TaskShape {
  readonly count: number;
  readonly queue: QueueName;
  /** One that a version names; by default the account that each has. */
  readonly account?: string;
}

/** The queues, by the priority of their jobs. */
export const QUEUES = { quote: 0, blend: 1, sweep: 2 } as const;

/** One of the names of {@link QUEUES}. */
export type QueueName = keyof typeof QUEUES;

const API_KEY = "key-of-the-account";
const keyOf = (account: string) => `key-of-${account}`;
const HOST = "jobs.example";
const TIMEOUT_MS = 3_000;

/** After a second without an answer an operator turns to another core. */
const READ_TIMEOUT_MS = 1_000;
const SUBMIT_ATTEMPTS = 5;
const ORDER_ATTEMPTS = 60;

const CONFIGURATION = {
  version: 7,
  routes: Object.entries(QUEUES).map(([name, priority]) => ({
    name: `r-${name}`,
    host: HOST,
    pathPrefix: `/${name}/`,
    routeType: "non_idempotent",
    timeoutMs: TIMEOUT_MS,
    sloMs: 1_200,
    priority,
    service: "loft-rate",
    attempts: 3,
    stretch: 3,
    public: false,
    allowedRegions: [],
  })),
  services: [{
    name: "loft-rate",
    healthPath: "/healthz",
    maxConns: 64,
    protocol: "h1",
    tls: false,
    coldStartS: 0,
    coldPerS: 0,
    admissionControl: true,
    standby: false,
  }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 262_144,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{
    name: "tenant",
    apiKeys: [API_KEY],
    priority: 1,
    guaranteed: { gpu: 24 },
    allowedRegions: [],
  }],
};

/** What a version gives an account beside its name and key. */
export interface LimitedAccount {
  readonly name: string;
  readonly weight: number;
  readonly maxCount: { cpu: number; memMb: number; gpu: number };
}

/** Sends the configuration to the cores in turn until one acknowledges it. */
export async function configure(
  programs: Programs,
  change: { version?: number; accounts?: readonly LimitedAccount[] } = {},
): Promise<void> {
  const { version = CONFIGURED_VERSION, accounts = [] } = change;
  const tenants = accounts.map((account) => ({
    ...account,
    apiKeys: [keyOf(account.name)],
    priority: 1,
    allowedRegions: [],
  }));
  const document = {
    ...CONFIGURATION,
    version,
    tenants: [...CONFIGURATION.tenants, ...tenants],
  };
  for (let attempt = 0; attempt < ORDER_ATTEMPTS; attempt++) {
    const core = programs.cores[attempt % programs.cores.length]!;
    const status = await send(
      "PUT",
      `http://${core.host}:${PORTS.control}/sesamethread/config`,
      document,
    );
    if (status.status === 200) {
      return;
    }
    await delay(300);
  }
  throw new Error("the configuration wasn't acknowledged");
}

/** One read of the configuration at a core. */
export interface ConfigurationRead {
  /** 0 if there was no answer in time. */
  readonly status: number;
  readonly version: number | undefined;
}

/** The version that {@link configure} sets. */
export const CONFIGURED_VERSION = CONFIGURATION.version;

/** Reads the configuration at one core, once. */
export async function readConfiguration(
  { host }: { host: string },
): Promise<ConfigurationRead> {
  const { status, body } = await send(
    "GET",
    `http://${host}:${PORTS.control}/sesamethread/config`,
    undefined,
    { timeoutMs: READ_TIMEOUT_MS },
  );
  const version = status === 200 ? Number(body.version) : undefined;
  return { status, version };
}

/** Sends a heartbeat that may be untrue to all cores. */
export async function announce(
  programs: Programs,
  workerId: string,
  heartbeat: Record<string, unknown>,
): Promise<void> {
  for (const { host } of programs.cores) {
    await send(
      "PUT",
      `http://${host}:${PORTS.control}/sesamethread/instances/${workerId}`,
      heartbeat,
    );
  }
}

/** Reports to one core that a worker leaves, as a late call of it would. */
export async function reportDeparture(
  programs: Programs,
  workerId: string,
): Promise<void> {
  const { host } = programs.cores[0]!;
  await send(
    "DELETE",
    `http://${host}:${PORTS.control}/sesamethread/instances/${workerId}`,
  );
}

/** Clients that hand jobs in and know what each consists of. */
export class JobClients {
  readonly #layout: PlatformLayout;
  readonly #shapes = new Map<string, JobShape>();
  readonly #random: () => number;
  readonly #otherShape: JobShape | undefined;
  /** How many calls to hand a job in got each status; 0 is no answer. */
  readonly submitStatuses: Record<number, number> = {};
  readonly accepted = new Set<string>();
  readonly cancelled = new Set<string>();

  constructor(
    layout: PlatformLayout,
    random: () => number,
    { otherShape }: { otherShape?: JobShape | undefined } = {},
  ) {
    this.#layout = layout;
    this.#random = random;
    this.#otherShape = otherShape;
  }

  shapeOf(task: string): JobShape {
    return this.#shapes.get(task.slice(0, 16)) ?? this.#otherShape!;
  }

  /** Hands a job in; resolves to its ID. */
  async submit(shape: JobShape): Promise<string> {
    const jobId = Array.from(
      { length: 16 },
      () => Math.floor(this.#random() * 16).toString(16),
    ).join("");
    this.#shapes.set(jobId, shape);
    const { count, cpu, memMb, gpu, workMs, gangSize, checkpointing } = shape;
    const body = {
      spec: "text",
      steps: [{
        count,
        cpu,
        memMb,
        gpu,
        estimateMs: workMs,
        ...(gangSize > 1 ? { gang: true } : {}),
        ...(checkpointing ? { checkpointing } : {}),
      }],
    };
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt++) {
      const { status } = await this.#call("POST", jobId, body);
      this.submitStatuses[status] = (this.submitStatuses[status] ?? 0) + 1;
      if (status >= 200 && status < 300) {
        this.accepted.add(jobId);
        break;
      }
      await delay(300);
    }
    return jobId;
  }

  async cancel(jobId: string): Promise<void> {
    this.cancelled.add(jobId);
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt++) {
      const { status } = await this.#call("DELETE", jobId);
      if (status === 410 || (status >= 200 && status < 300)) {
        return;
      }
      await delay(300);
    }
  }

  /** The job's state; undefined without an answer that names one. */
  async state(jobId: string): Promise<string | undefined> {
    const { status, body } = await this.#call("GET", jobId);
    return status === 200 ? String(body.state) : undefined;
  }

  #call(method: "GET" | "POST" | "DELETE", jobId: string, body?: unknown) {
    const doors = this.#layout.programs.filter(({ role }) => role === "door");
    const door = doors[Math.floor(this.#random() * doors.length)]!;
    const { queue, account } = this.#shapes.get(jobId)!;
    return send(
      method,
      `http://${door.host}:${PORTS.front}/${queue}/${jobId}`,
      body,
      { apiKey: account === undefined ? API_KEY : keyOf(account) },
    );
  }
}

async function send(
  method: "GET" | "PUT" | "POST" | "DELETE",
  url: string,
  body?: unknown,
  options: { timeoutMs?: number; apiKey?: string } = {},
): Promise<{ status: number; body: Record<string, unknown> }> {
  const { timeoutMs = TIMEOUT_MS, apiKey = API_KEY } = options;
  try {
    const answer = await request(url, {
      method,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      headers: {
        host: HOST,
        "content-type": "application/json",
        "x-api-key": apiKey,
        "sesamethread-timeout-ms": String(TIMEOUT_MS),
      },
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await answer.body.text();
    return {
      status: answer.statusCode,
      body: text === "" ? {} : JSON.parse(text) as Record<string, unknown>,
    };
  } catch {
    return { status: 0, body: {} };
  }
}
