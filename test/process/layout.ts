/**
 * Where everything of a process test stands: five instances in two data
 * centres, with a link proxy between the data centres.
 *
 * @module
 */

import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";

/** One instance of the test. */
export interface TestInstance {
  readonly id: string;
  readonly dataCentre: string;
  readonly httpPort: number;
  readonly peerPort: number;
}

/** One link through the proxy, for one direction of dialling. */
export interface TestLink {
  readonly from: string;
  readonly to: string;
  readonly port: number;
  readonly targetPort: number;
}

/** The whole layout, as written to `layout.json`. */
export interface TestLayout {
  readonly folder: string;
  readonly instances: readonly TestInstance[];
  readonly links: readonly TestLink[];
  readonly controlPort: number;
  readonly workers: readonly { readonly id: string; readonly rack: string }[];
  readonly servers: readonly {
    readonly id: string;
    readonly dataCentre: string;
    readonly port: number;
  }[];
}

/** The instances and the data centre of each. */
export const INSTANCE_PLACES = {
  "east-1": "east",
  "east-2": "east",
  "east-3": "east",
  "west-1": "west",
  "west-2": "west",
} as const;

const WORKERS_PER_RACK = 4;
const SERVERS_PER_DATA_CENTRE = 2;

/** Lays everything out on ports that are free now. */
export async function createLayout(folder: string): Promise<TestLayout> {
  const places = Object.entries(INSTANCE_PLACES);
  const ports = new PortSource(await takePorts(100));
  const instances = places.map(([id, dataCentre]) => ({
    id,
    dataCentre,
    httpPort: ports.next(),
    peerPort: ports.next(),
  }));
  const dataCentres = [...new Set(places.map(([, dataCentre]) => dataCentre))];
  return {
    folder,
    instances,
    links: createLinks(instances, ports),
    controlPort: ports.next(),
    workers: dataCentres.flatMap((dataCentre) =>
      Array.from({ length: WORKERS_PER_RACK }, (_, at) => ({
        id: `${dataCentre}-w${at + 1}`,
        rack: `${dataCentre}-rack-1`,
      }))
    ),
    servers: dataCentres.flatMap((dataCentre) =>
      Array.from({ length: SERVERS_PER_DATA_CENTRE }, (_, at) => ({
        id: `${dataCentre}-server-${at + 1}`,
        dataCentre,
        port: ports.next(),
      }))
    ),
  };
}

function createLinks(
  instances: readonly TestInstance[],
  ports: PortSource,
): TestLink[] {
  return instances.flatMap((from) =>
    instances
      .filter((to) => to.dataCentre !== from.dataCentre)
      .map((to) => ({
        from: from.id,
        to: to.id,
        port: ports.next(),
        targetPort: to.peerPort,
      }))
  );
}

class PortSource {
  #ports: number[];

  constructor(ports: number[]) {
    this.#ports = ports;
  }

  next(): number {
    const port = this.#ports.pop();
    if (port === undefined) {
      throw new Error("too few ports were taken");
    }
    return port;
  }
}

async function takePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, () => listenAnywhere()),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => once(server.close(), "close")));
  return ports;
}

async function listenAnywhere(): Promise<Server> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}
