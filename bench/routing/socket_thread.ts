/**
 * A thread of the socket bench: the stand-in servers, the instance, or a plain
 * relay that forwards each call to the next server in turn.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { parentPort, workerData } from "node:worker_threads";
import { Agent } from "undici";
import { SeededRandom, SystemClock } from "../../src/base/mod.ts";
import { HttpServer, MetricsRegistry } from "../../src/process/http/mod.ts";
import { fixedConfiguration } from "../../src/process/routing/fixed_configuration.ts";
import { LedgerState } from "../../src/process/ledger/mod.ts";
import { MemoryGroup } from "../../src/process/ledger/memory_group.ts";
import { FakePeerHub } from "../../src/process/replication/fake_peer_network.ts";
import {
  RequestHeader,
  RequestRouting,
} from "../../src/process/routing/mod.ts";
import { StandinBackendServer } from "../../standins/backend_server/mod.ts";
import {
  type BenchWorkerData,
  type BenchWorkerReady,
  SOCKET_SIZES,
} from "./bench_worker.ts";

const HOST = "127.0.0.1";
const RELAY_CONNECTIONS = 60;

async function startServers(data: BenchWorkerData): Promise<string[]> {
  const clock = new SystemClock();
  const indexes = Array.from({ length: SOCKET_SIZES.servers }, (_, at) => at);
  return await Promise.all(indexes.map((at) =>
    new StandinBackendServer({
      serverId: `s${at}`,
      service: SOCKET_SIZES.service,
      dataCentre: SOCKET_SIZES.dataCentre,
      slots: SOCKET_SIZES.slots,
      instances: [data.instanceAddress],
      clock,
      random: new SeededRandom({ seed: data.seed + at }),
      meanServiceMs: data.meanServiceMs,
    }).start()
  ));
}

async function startInstance(): Promise<string[]> {
  const clock = new SystemClock();
  const self = { id: "i1", dataCentre: SOCKET_SIZES.dataCentre, region: "r" };
  const state = new LedgerState();
  const group = new MemoryGroup({ groupId: "ledger", state });
  const hub = new FakePeerHub({ clock, random: new SeededRandom({ seed: 1 }) });
  const routing = new RequestRouting({
    self,
    peers: [],
    incarnation: 1,
    clock,
    random: new SeededRandom({ seed: 1 }),
    network: hub.join(self.id, { peerIds: [self.id] }),
    configuration: fixedConfiguration({
      dataCentres: [SOCKET_SIZES.dataCentre],
      services: {
        [SOCKET_SIZES.service]: {
          classes: [{ name: "quote", rank: 0, defaultTimeoutMs: 30_000 }],
        },
      },
    }),
    ledgerLog: group.member(self.id),
    ledgerState: state,
    metrics: new MetricsRegistry(),
  });
  const httpServer = new HttpServer({ endpoints: routing.endpoints, clock });
  const listening = await httpServer.listen({ host: HOST, port: 0 });
  httpServer.markReady();
  return [`${HOST}:${listening.unsafeCoerce().port}`];
}

async function startRelay(data: BenchWorkerData): Promise<string[]> {
  const agent = new Agent({ connections: RELAY_CONNECTIONS });
  let next = 0;
  const relay = async (
    call: IncomingMessage,
    answer: ServerResponse,
  ): Promise<void> => {
    const chunks: Buffer[] = [];
    for await (const chunk of call) {
      chunks.push(chunk as Buffer);
    }
    const address = data.serverAddresses[next++ % data.serverAddresses.length];
    const response = await agent.request({
      origin: `http://${address}`,
      path: "/",
      method: "POST",
      headers: { [RequestHeader.correlation]: String(next) },
      body: Buffer.concat(chunks),
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    answer.writeHead(response.statusCode, { "content-length": body.length });
    answer.end(body);
  };
  const server = createServer((call, answer) => void relay(call, answer));
  await new Promise<void>((resolve) => {
    server.listen({ host: HOST, port: 0 }, resolve);
  });
  return [`${HOST}:${(server.address() as AddressInfo).port}`];
}

function start(data: BenchWorkerData): Promise<string[]> {
  switch (data.role) {
    case "servers":
      return startServers(data);
    case "instance":
      return startInstance();
    case "relay":
      return startRelay(data);
  }
}

const addresses = await start(workerData as BenchWorkerData);
const ready: BenchWorkerReady = { addresses };
parentPort?.postMessage(ready);
