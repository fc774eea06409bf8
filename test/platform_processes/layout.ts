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

/** The layout, as written to `layout.json`. */
export interface PlatformLayout {
  readonly folder: string;
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

const DATA_CENTRES = ["kalyani", "siliguri", "howrah"] as const;
const WORKERS_PER_DATA_CENTRE = 4;

/** Creates the layout on a subnet, such as `127.4.5`. */
export function createLayout(folder: string, subnet: string): PlatformLayout {
  const cores = DATA_CENTRES.map((dataCentre, at): ProgramPlace => ({
    name: `core-${dataCentre}-1`,
    role: "core",
    host: `${subnet}.${1 + at}`,
    dataCentre,
  }));
  const doors = DATA_CENTRES.slice(0, 2).map((
    dataCentre,
    at,
  ): ProgramPlace => ({
    name: `door-${dataCentre}-1`,
    role: "door",
    host: `${subnet}.${11 + at}`,
    dataCentre,
  }));
  const workers = DATA_CENTRES.flatMap((dataCentre, at) =>
    Array.from({ length: WORKERS_PER_DATA_CENTRE }, (_, index) => {
      const number = at * WORKERS_PER_DATA_CENTRE + index;
      return {
        id: `i-${number}`,
        host: `${subnet}.${50 + number}`,
        linkHost: `${subnet}.${100 + number}`,
        dataCentre,
        rack: `rack-${dataCentre}`,
      };
    })
  );
  return { folder, programs: [...cores, ...doors], workers };
}

/** The addresses at which operators and workers call the cores. */
export function controlAddresses(layout: PlatformLayout): string[] {
  return layout.programs.filter(({ role }) => role === "core")
    .map(({ host }) => `${host}:${PORTS.control}`);
}
