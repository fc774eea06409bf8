/**
 * A proxy in front of a worker. While it refuses, as a packet filter that
 * rejects, its connections are reset and new ones are refused.
 */

import { once } from "node:events";
import { connect, createServer } from "node:net";

export class RefusingProxy {
  #target;
  #host;
  #port = 0;
  #server;
  #sockets = new Set();

  constructor({ host, target }) {
    this.#host = host;
    this.#target = target;
  }

  /** Listens, at first on a free port; resolves to the address. */
  async open() {
    this.#server = createServer((caller) => this.#join(caller));
    this.#server.listen(this.#port, this.#host);
    await once(this.#server, "listening");
    this.#port = this.#server.address().port;
    return `${this.#host}:${this.#port}`;
  }

  #join(caller) {
    const [host, port] = this.#target.split(":");
    const worker = connect({ host, port: Number(port) });
    for (const [socket, other] of [[caller, worker], [worker, caller]]) {
      this.#sockets.add(socket);
      socket.pipe(other);
      socket.on("error", () => other.destroy());
      socket.on("close", () => {
        this.#sockets.delete(socket);
        other.destroy();
      });
    }
  }

  /** Resets all connections, and refuses new ones until it is opened again. */
  refuse() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  close() {
    this.refuse();
  }
}
