/**
 * Reserves ports for the programs of a process test. Programs that listen on
 * port 0 are never given one of them, and no other test is while it lasts.
 *
 * @module
 */

import { once } from "node:events";
import { createServer, type Server } from "node:net";

/** Ports from here on are given to those who listen on port 0. */
const EPHEMERAL_PORTS_BEGIN = 32_768;
const FIRST_PORT = 12_768;
const BLOCK_SIZE = 100;
const BLOCKS = (EPHEMERAL_PORTS_BEGIN - FIRST_PORT) / BLOCK_SIZE;

/** Reserved ports; `close` lets others reserve them. */
export interface PortReservation {
  readonly ports: readonly number[];
  close(): Promise<void>;
}

/**
 * Reserves a block of ports that are all free. Whoever listens on its first port
 * has the block, also if the process ends without closing the reservation.
 */
export async function reservePorts(): Promise<PortReservation> {
  const start = Math.floor(Math.random() * BLOCKS);
  for (let offset = 0; offset < BLOCKS; offset++) {
    const first = FIRST_PORT + ((start + offset) % BLOCKS) * BLOCK_SIZE;
    const lock = await tryListen(first);
    if (lock === undefined) {
      continue;
    }
    const ports = Array.from(
      { length: BLOCK_SIZE - 1 },
      (_, at) => first + 1 + at,
    );
    if (await areFree(ports)) {
      return { ports, close: () => closeServer(lock) };
    }
    await closeServer(lock);
  }
  throw new Error("no block of free ports is left");
}

async function areFree(ports: readonly number[]): Promise<boolean> {
  const servers = await Promise.all(ports.map(tryListen));
  const opened = servers.filter((server) => server !== undefined);
  await Promise.all(opened.map(closeServer));
  return opened.length === ports.length;
}

async function tryListen(port: number): Promise<Server | undefined> {
  const server = createServer().listen(port, "127.0.0.1");
  try {
    await once(server, "listening");
    return server;
  } catch {
    return undefined;
  }
}

async function closeServer(server: Server): Promise<void> {
  await once(server.close(), "close");
}
