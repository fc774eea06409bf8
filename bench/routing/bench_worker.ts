/**
 * Messages between the threads of the socket bench.
 *
 * @module
 */

/** What a thread runs. */
export interface BenchWorkerData {
  readonly role: "servers" | "instance" | "relay";
  readonly meanServiceMs: number;
  readonly seed: number;
  /** Address of the instance that the servers announce themselves to. */
  readonly instanceAddress: string;
  /** Addresses of the servers that the relay calls. */
  readonly serverAddresses: readonly string[];
}

/** Sent by a thread once it serves. */
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
