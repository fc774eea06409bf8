/**
 * Limits the connections of a listener of links that haven't proven the cluster
 * key yet.
 *
 * @module
 */

import type { Socket } from "node:net";

/** Options of {@link UnauthenticatedConnections}. */
export interface UnauthenticatedConnectionsOptions {
  /** Maximum number of connections. */
  readonly limit: number;
  /** Called with the connection that makes room for a new one. */
  readonly onDisplaced: (socket: Socket) => void;
}

/**
 * The connections in the order in which they were accepted. One over the limit
 * displaces the oldest of the remote address that has the most: strangers that
 * hold all places can't keep a peer out, unless each has another address.
 */
export class UnauthenticatedConnections {
  readonly #options: UnauthenticatedConnectionsOptions;
  readonly #addresses = new Map<Socket, string>();

  constructor(options: UnauthenticatedConnectionsOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#addresses.size;
  }

  /** Adds a connection until it is closed or removed. */
  add(socket: Socket): void {
    this.#addresses.set(socket, socket.remoteAddress ?? "");
    socket.once("close", () => this.remove(socket));
    if (this.#addresses.size > this.#options.limit) {
      this.#displaceOne();
    }
  }

  /** Removes a connection that has authenticated. */
  remove(socket: Socket): void {
    this.#addresses.delete(socket);
  }

  #displaceOne(): void {
    const counts = new Map<string, number>();
    for (const address of this.#addresses.values()) {
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
    const most = Math.max(...counts.values());
    for (const [socket, address] of this.#addresses) {
      if (counts.get(address) === most) {
        this.#addresses.delete(socket);
        this.#options.onDisplaced(socket);
        return;
      }
    }
  }
}
