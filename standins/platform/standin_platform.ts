/**
 * A stand-in for the platform: runs three instances with a disk and two that
 * receive clients' calls in one process, and calls them over loopback as
 * operators, workers and clients do.
 *
 * @module
 */

import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { decodeBootSettings } from "../../platform/boot_settings.ts";
import { PlatformCore } from "../../platform/platform_core.ts";
import { PlatformDoor } from "../../platform/platform_door.ts";
import type { PlatformRuntime } from "../../platform/platform_runtime.ts";
import {
  type EventLog,
  SeededRandom,
  SystemClock,
} from "../../src/base/mod.ts";
import { BATCH_TIMING } from "../../src/process/batch/mod.ts";
import { MetricsRegistry } from "../../src/process/http/mod.ts";

/** The answer to a call. */
export interface CallResult {
  readonly status: number;
  readonly body: Record<string, unknown>;
  readonly retryAfter: string | undefined;
}

const API_KEY = "key-of-the-first-account";
const PORTS = { front: 8521, ready: 8523, control: 8526, internal: 7000 };

/** A configuration with one queue, in the platform's wire format. */
export function standinConfiguration(
  options: { version: number; attempts?: number; prefix?: string },
): Record<string, unknown> {
  return {
    version: options.version,
    routes: [{
      name: "r-1",
      host: "jobs.example",
      pathPrefix: options.prefix ?? "/queue/",
      routeType: "non_idempotent",
      timeoutMs: 3_000,
      sloMs: 1_000,
      priority: 1,
      service: "pool",
      attempts: options.attempts ?? 2,
      stretch: 3,
      public: false,
    }],
    services: [{ name: "pool", admissionControl: true }],
    tenants: [{
      name: "first",
      apiKeys: [API_KEY],
      guaranteed: { gpu: 8 },
    }],
  };
}

/** Runs the system's instances and calls them. */
export class StandinPlatform {
  readonly #subnet: number;
  readonly #events: EventLog;
  readonly #cores = new Map<string, PlatformCore>();
  readonly #metrics = new Map<string, MetricsRegistry>();
  readonly #doors: PlatformDoor[] = [];
  #folder = "";

  /** Stand-ins in one process need different subnets, from 1 to 200. */
  constructor(options: { subnet: number; events: EventLog }) {
    this.#subnet = options.subnet;
    this.#events = options.events;
  }

  get controlAddresses(): string[] {
    return this.#coreIds().map((id) => `${id}:${PORTS.control}`);
  }

  async open(): Promise<void> {
    this.#folder = await mkdtemp(join(tmpdir(), "sesamethread-"));
    for (const id of this.#coreIds()) {
      await this.openCore(id, { formsGroup: true });
    }
    for (const id of this.#doorIds()) {
      this.#doors.push(await PlatformDoor.open(this.#runtime(id, true)));
    }
  }

  async openCore(
    id: string,
    options: { formsGroup: boolean },
  ): Promise<void> {
    const runtime = this.#runtime(id, options.formsGroup);
    this.#cores.set(id, await PlatformCore.open(runtime));
  }

  /** Stops the leader as the platform does; returns its ID. */
  async stopLeader(): Promise<string> {
    for (const [id, core] of this.#cores) {
      if (core.isLeading) {
        this.#cores.delete(id);
        await core.close(Date.now() + 3_000);
        return id;
      }
    }
    throw new Error("no instance is the leader");
  }

  /** The number of workers in the replica of each running core instance. */
  knownWorkerCounts(): number[] {
    return [...this.#cores.keys()].map((id) => {
      const text = this.#metrics.get(id)!.render();
      return Number(/^sesamethread_workers (\d+)$/m.exec(text)?.[1]);
    });
  }

  configure(configuration: unknown, core = 0): Promise<CallResult> {
    const control = this.controlAddresses[core]!;
    return call("PUT", `http://${control}/sesamethread/config`, {
      body: configuration,
    });
  }

  control(method: "GET" | "POST" | "DELETE", path: string, core = 0): Promise<
    CallResult
  > {
    return call(method, `http://${this.controlAddresses[core]}${path}`, {});
  }

  /** Sends a worker's heartbeat to one of the core instances. */
  heartbeat(id: string, body: unknown, core: number): Promise<CallResult> {
    const control = this.controlAddresses[core]!;
    const url = `http://${control}/sesamethread/instances/${id}`;
    return call("PUT", url, { body });
  }

  client(
    method: "GET" | "POST" | "DELETE",
    path: string,
    options: { body?: unknown; door?: number; apiKey?: string } = {},
  ): Promise<CallResult> {
    const door = this.#doorIds()[options.door ?? 0]!;
    return call(method, `http://${door}:${PORTS.front}${path}`, {
      body: options.body,
      headers: {
        host: "jobs.example",
        "x-api-key": options.apiKey ?? API_KEY,
        "sesamethread-timeout-ms": "3000",
      },
    });
  }

  async close(): Promise<void> {
    const deadlineMs = Date.now() + 1_000;
    await Promise.all([
      ...this.#doors.map((door) => door.close(deadlineMs)),
      ...[...this.#cores.values()].map((core) => core.close(deadlineMs)),
    ]);
    await rm(this.#folder, { recursive: true, force: true });
  }

  #coreIds(): string[] {
    return [1, 2, 3].map((host) => `127.0.${this.#subnet}.${host}`);
  }

  #doorIds(): string[] {
    return [11, 12].map((host) => `127.0.${this.#subnet}.${host}`);
  }

  #runtime(id: string, formsGroup: boolean): PlatformRuntime {
    const settings = decodeBootSettings({
      node: id,
      ip: id,
      zone: "zone-1",
      serves: [],
      listen: {
        front: `${id}:${PORTS.front}`,
        ready: `${id}:${PORTS.ready}`,
        control: `${id}:${PORTS.control}`,
      },
      internalPortRange: [PORTS.internal, PORTS.internal + 15],
      seeds: this.controlAddresses,
      bootstrap: formsGroup,
      dataDir: join(this.#folder, id),
      bounds: { graceS: 6, maxHoldMs: 10_000, gangTimeoutMs: 3_000 },
    }).unsafeCoerce();
    const metrics = new MetricsRegistry();
    this.#metrics.set(id, metrics);
    return {
      settings,
      clock: new SystemClock(),
      random: new SeededRandom({ seed: this.#subnet }),
      events: this.#events,
      metrics,
      timing: BATCH_TIMING,
    };
  }
}

async function call(
  method: "GET" | "PUT" | "POST" | "DELETE",
  url: string,
  options: { body?: unknown; headers?: Record<string, string> },
): Promise<CallResult> {
  const answer = await request(url, {
    method,
    headers: { "content-type": "application/json", ...options.headers },
    ...(options.body === undefined
      ? {}
      : { body: JSON.stringify(options.body) }),
    signal: AbortSignal.timeout(5_000),
  });
  const text = await answer.body.text();
  const retryAfter = answer.headers["retry-after"];
  return {
    status: answer.statusCode,
    body: text === "" ? {} : JSON.parse(text) as Record<string, unknown>,
    retryAfter: typeof retryAfter === "string" ? retryAfter : undefined,
  };
}
