/**
 * Real daemons in one process, with real sockets on loopback, real files and an
 * injected delay between regions.
 *
 * @module
 */

import { mkdtempSync, rmSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { once } from "node:events";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Daemon } from "../../src/process/daemon/daemon.ts";
import {
  type Settings,
  settingsSchema,
} from "../../src/process/settings/mod.ts";
import { LinkProxy } from "../../standins/link_proxy/link_proxy.ts";

/** One daemon of the bench. */
export interface BenchInstance {
  readonly id: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly hasDisk: boolean;
  readonly httpPort: number;
  readonly peerPort: number;
}

/** Options of {@link BenchCluster.start}. */
export interface BenchClusterOptions {
  readonly instances: number;
  /** One-way delay between regions. */
  readonly regionDelayMs: number;
}

/** Assigned to the instances in turn; the first two share a region. */
const DATA_CENTRES = [
  { dataCentre: "east", region: "region-east" },
  { dataCentre: "east-2", region: "region-east" },
  { dataCentre: "west", region: "region-west" },
] as const;

const MAX_VOTERS = 5;

/** Daemons that form one system. */
export class BenchCluster {
  readonly instances: readonly BenchInstance[];
  #folder = mkdtempSync(join(tmpdir(), "sesamethread-bench-"));
  #daemons: Daemon[] = [];
  #proxies: LinkProxy[] = [];
  #options: BenchClusterOptions;

  private constructor(
    options: BenchClusterOptions,
    instances: readonly BenchInstance[],
  ) {
    this.#options = options;
    this.instances = instances;
  }

  /** Starts all daemons; returns once each one serves HTTP. */
  static async start(options: BenchClusterOptions): Promise<BenchCluster> {
    const instances: BenchInstance[] = [];
    for (let at = 0; at < options.instances; at++) {
      instances.push({
        id: `instance-${at + 1}`,
        ...DATA_CENTRES[at % DATA_CENTRES.length] as typeof DATA_CENTRES[0],
        hasDisk: at < MAX_VOTERS,
        httpPort: await freePort(),
        peerPort: await freePort(),
      });
    }
    const cluster = new BenchCluster(options, instances);
    await Promise.all(instances.map((each) => cluster.#startOne(each)));
    return cluster;
  }

  async close(): Promise<void> {
    await Promise.all(this.#daemons.map((daemon) => daemon.close()));
    await Promise.all(this.#proxies.map((proxy) => proxy.close()));
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #startOne(instance: BenchInstance): Promise<void> {
    const settings = await this.#settingsOf(instance);
    const started = await Daemon.start({ settings });
    this.#daemons.push(started.unsafeCoerce());
  }

  async #settingsOf(instance: BenchInstance): Promise<Settings> {
    const others = this.instances.filter(({ id }) => id !== instance.id);
    const peers = await Promise.all(others.map(async (peer) => ({
      ...locationOf(peer),
      peerAddress: `127.0.0.1:${await this.#peerPortFor(instance, peer)}`,
    })));
    return settingsSchema.parse({
      instance: {
        ...locationOf(instance),
        httpAddress: `127.0.0.1:${instance.httpPort}`,
        peerAddress: `127.0.0.1:${instance.peerPort}`,
      },
      peers,
      storage: { folder: join(this.#folder, instance.id) },
      bootstrap: { documentFile: "examples/demo/document.toml" },
      log: { level: "error" },
      limits: { stopMs: 1_000 },
    });
  }

  async #peerPortFor(from: BenchInstance, to: BenchInstance): Promise<number> {
    if (from.region === to.region) {
      return to.peerPort;
    }
    const proxy = new LinkProxy({
      listenPort: 0,
      targetHost: "127.0.0.1",
      targetPort: to.peerPort,
      delayMs: this.#options.regionDelayMs,
    });
    this.#proxies.push(proxy);
    return await proxy.open();
  }
}

function locationOf({ id, dataCentre, region, hasDisk }: BenchInstance) {
  return { id, dataCentre, region, hasDisk };
}

async function freePort(): Promise<number> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}
