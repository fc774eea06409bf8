/**
 * The processes of a test on the platform's programs and their addresses: each
 * instance, worker and link has a loopback address of its own.
 *
 * @module
 */

/** A core or a door. */
export interface ProgramPlace {
  readonly name: string;
  readonly role: "core" | "door";
  readonly host: string;
  readonly dataCentre: string;
}

/** A worker, and the link through which the cores call it. */
export interface WorkerPlace {
  readonly id: string;
  readonly host: string;
  readonly linkHost: string;
  readonly dataCentre: string;
  readonly rack: string;
}

/** How many of what a play needs. */
export interface LayoutShape {
  /** Each has one core. */
  readonly dataCentres: readonly string[];
  readonly workersPerDataCentre: number;
  /** How many cores may be lost at once. */
  readonly lossesBorne: number;
}

/** The layout, as written to `layout.json`. */
export interface PlatformLayout {
  readonly folder: string;
  readonly subnet: string;
  readonly lossesBorne: number;
  readonly programs: readonly ProgramPlace[];
  readonly workers: readonly WorkerPlace[];
}

/** The ports of all programs, each on its own address. */
export const PORTS = {
  front: 8521,
  ready: 8523,
  control: 8526,
  internal: 7000,
  worker: 9000,
} as const;

/** The limits of the site mfh-batting. */
export const BOUNDS = {
  contactMs: 4_000,
  ackTimeoutMs: 5_000,
  drainMs: 2_500,
  graceS: 6,
  evacuateMs: 5_000,
  outerMs: 6_000,
  maxHoldMs: 6_000,
  stopTimeoutMs: 400,
  gangTimeoutMs: 3_000,
  checkpointS: 0.5,
  restoreMs: 250,
  reclaimMs: 2_900,
} as const;

const THREE_CORES: LayoutShape = {
  dataCentres: ["kalyani", "siliguri", "howrah"],
  workersPerDataCentre: 4,
  lossesBorne: 1,
};

const SIX_CORES: LayoutShape = {
  dataCentres: [
    ...["london-on", "traverse", "windsor"],
    ...["marquette", "sarnia", "petoskey"],
  ],
  workersPerDataCentre: 4,
  lossesBorne: 2,
};

/** The number of cores whose addresses are told to a program at its start. */
export const SEED_COUNT = 3;

/** The last octets of cores that are started later begin here. */
const SUCCESSOR_OCTET = 21;

/** The shape that a play needs; `replace_cores` names the number of cores. */
export function shapeFor(play: string, [cores]: string[]): LayoutShape {
  return play === "replace_cores" && cores === "6" ? SIX_CORES : THREE_CORES;
}

/** Creates the layout on a subnet, such as `127.4.5`. */
export function createLayout(
  folder: string,
  options: { subnet: string; shape: LayoutShape },
): PlatformLayout {
  const { subnet, shape } = options;
  const { dataCentres, workersPerDataCentre, lossesBorne } = shape;
  const cores = dataCentres.map((dataCentre, at): ProgramPlace => ({
    name: `core-${dataCentre}-1`,
    role: "core",
    host: `${subnet}.${1 + at}`,
    dataCentre,
  }));
  const doors = dataCentres.slice(0, 2).map((
    dataCentre,
    at,
  ): ProgramPlace => ({
    name: `door-${dataCentre}-1`,
    role: "door",
    host: `${subnet}.${11 + at}`,
    dataCentre,
  }));
  const workers = dataCentres.flatMap((dataCentre, at) =>
    Array.from({ length: workersPerDataCentre }, (_, index) => {
      const number = at * workersPerDataCentre + index;
      return {
        id: `i-${number}`,
        host: `${subnet}.${50 + number}`,
        linkHost: `${subnet}.${100 + number}`,
        dataCentre,
        rack: `rack-${dataCentre}`,
      };
    })
  );
  return {
    ...{ folder, subnet, lossesBorne, workers },
    programs: [...cores, ...doors],
  };
}

/**
 * A core that is started later in the data centre of another one, at an address
 * that none had before; `number` counts them from 0.
 */
export function successorPlace(
  layout: PlatformLayout,
  options: { of: ProgramPlace; number: number },
): ProgramPlace {
  const { dataCentre } = options.of;
  return {
    name: `core-${dataCentre}-${2 + options.number}`,
    role: "core",
    host: `${layout.subnet}.${SUCCESSOR_OCTET + options.number}`,
    dataCentre,
  };
}

/** The address at which operators, workers and settings find a core. */
export function controlAddress({ host }: ProgramPlace): string {
  return `${host}:${PORTS.control}`;
}

/** The addresses of the first cores, which all programs are told at first. */
export function controlAddresses(layout: PlatformLayout): string[] {
  return layout.programs.filter(({ role }) => role === "core")
    .slice(0, SEED_COUNT).map(controlAddress);
}
