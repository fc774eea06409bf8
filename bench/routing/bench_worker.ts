/**
 * What the threads of the socket bench tell one another.
 *
 * @module
 */

/** What a thread is to run. */
export interface BenchWorkerData {
  readonly role: "servers" | "instance" | "relay";
  readonly meanServiceMs: number;
  readonly seed: number;
  /** Where the instance listens, for the servers' announcements. */
  readonly instanceAddress: string;
  /** Where the servers listen, for the relay. */
  readonly serverAddresses: readonly string[];
}

/** What a thread says once it serves. */
export interface BenchWorkerReady {
  readonly addresses: readonly string[];
}

/** The sizes of the socket bench. */
export const SOCKET_SIZES = {
  servers: 4,
  slots: 8,
  service: "bench",
  dataCentre: "dc",
} as const;
