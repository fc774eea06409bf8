/**
 * The programs of a process test and their ports: five instances in two data
 * centres, with a link proxy between the data centres.
 *
 * @module
 */

/** An instance of the test. */
export interface TestInstance {
  readonly id: string;
  readonly dataCentre: string;
  readonly httpPort: number;
  readonly peerPort: number;
}

/** A link through the proxy, for connections opened from `from` to `to`. */
export interface TestLink {
  readonly from: string;
  readonly to: string;
  readonly port: number;
  readonly targetPort: number;
}

/** The layout, as written to `layout.json`. */
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

/** The data centre of each instance. */
export const INSTANCE_DATA_CENTRES = {
  "east-1": "east",
  "east-2": "east",
  "east-3": "east",
  "west-1": "west",
  "west-2": "west",
} as const;

const WORKERS_PER_RACK = 4;
const SERVERS_PER_DATA_CENTRE = 2;

/** Creates the layout on the given ports. */
export function createLayout(
  folder: string,
  portNumbers: readonly number[],
): TestLayout {
  const locations = Object.entries(INSTANCE_DATA_CENTRES);
  const ports = new PortPool([...portNumbers]);
  const instances = locations.map(([id, dataCentre]) => ({
    id,
    dataCentre,
    httpPort: ports.next(),
    peerPort: ports.next(),
  }));
  const dataCentres = [
    ...new Set(locations.map(([, dataCentre]) => dataCentre)),
  ];
  return {
    folder,
    instances,
    links: createLinks(instances, ports),
    controlPort: ports.next(),
    workers: dataCentres.flatMap((dataCentre) =>
      Array.from({ length: WORKERS_PER_RACK }, (_, index) => ({
        id: `${dataCentre}-w${index + 1}`,
        rack: `${dataCentre}-rack-1`,
      }))
    ),
    servers: dataCentres.flatMap((dataCentre) =>
      Array.from({ length: SERVERS_PER_DATA_CENTRE }, (_, index) => ({
        id: `${dataCentre}-server-${index + 1}`,
        dataCentre,
        port: ports.next(),
      }))
    ),
  };
}

function createLinks(
  instances: readonly TestInstance[],
  ports: PortPool,
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

class PortPool {
  #ports: number[];

  constructor(ports: number[]) {
    this.#ports = ports;
  }

  next(): number {
    const port = this.#ports.pop();
    if (port === undefined) {
      throw new Error("no free port left in the pool");
    }
    return port;
  }
}
