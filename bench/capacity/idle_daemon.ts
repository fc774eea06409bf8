/**
 * Measures memory and processor time of an idle daemon in this thread, the only
 * instance of its system. Its modules are imported dynamically, so that the
 * memory of the process can be measured before they are loaded.
 *
 * @module
 */

import { once } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as wait } from "node:timers/promises";

/** Memory in bytes, processor time as a fraction of a core. */
export interface IdleDaemon {
  readonly residentBytes: number;
  readonly heapBytes: number;
  /** One value for each of the consecutive windows. */
  readonly coreFractions: readonly number[];
}

const SETTLE_MS = 4_000;
const WINDOW_MS = 5_000;
const WINDOWS = 5;

/** Starts a daemon, waits until it is idle, measures it and stops it. */
export async function measureIdleDaemon(): Promise<IdleDaemon> {
  const { Daemon } = await import("../../src/process/daemon/daemon.ts");
  const folder = await mkdtemp(join(tmpdir(), "capacity-"));
  const settings = await settingsIn(folder);
  const daemon = (await Daemon.start({ settings })).unsafeCoerce();
  await wait(SETTLE_MS);
  const coreFractions: number[] = [];
  while (coreFractions.length < WINDOWS) {
    coreFractions.push(await measureWindow());
  }
  globalThis.gc?.();
  globalThis.gc?.();
  const { rss, heapUsed } = process.memoryUsage();
  await daemon.close();
  await rm(folder, { recursive: true });
  return {
    residentBytes: rss,
    heapBytes: heapUsed,
    coreFractions,
  };
}

async function measureWindow(): Promise<number> {
  const usage = process.cpuUsage();
  await wait(WINDOW_MS);
  const { user, system } = process.cpuUsage(usage);
  return (user + system) / 1_000 / WINDOW_MS;
}

async function settingsIn(folder: string) {
  const { settingsSchema } = await import(
    "../../src/process/settings/settings.ts"
  );
  const [httpPort, peerPort] = await findFreePorts(2);
  return settingsSchema.parse({
    instance: {
      id: "idle-1",
      dataCentre: "east",
      region: "north",
      hasDisk: true,
      httpAddress: `127.0.0.1:${httpPort}`,
      peerAddress: `127.0.0.1:${peerPort}`,
    },
    storage: { folder },
    bootstrap: { documentFile: "examples/demo/document.toml" },
    log: { level: "error" },
  });
}

async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = createServer().listen(0, "127.0.0.1");
      await once(server, "listening");
      return server;
    }),
  );
  const ports = servers.map((each) => (each.address() as AddressInfo).port);
  await Promise.all(servers.map((each) => once(each.close(), "close")));
  return ports;
}
