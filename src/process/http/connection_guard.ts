/**
 * Puts a {@link GuardedConnection} between an HTTP server and each socket.
 *
 * @module
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { GuardedConnection } from "./guarded_connection.ts";

/**
 * Gives each accepted connection to the HTTP server as the stream that `guard`
 * returns, or not at all. Node documents that any `Duplex` may be given to an
 * HTTP server with its "connection" event.
 */
export function guardConnections(
  server: Server,
  guard: (socket: Socket) => GuardedConnection | undefined,
  options: { event?: "connection" | "secureConnection" } = {},
): void {
  const { event = "connection" } = options;
  const listeners = server.listeners(event);
  server.removeAllListeners(event);
  server.on(event, (socket: Socket) => {
    const connection = guard(socket);
    if (connection !== undefined) {
      listeners.forEach((listen) => listen.call(server, connection));
    }
  });
}
