/**
 * A relay between two instances whose open connections can go silent.
 *
 * @module
 */

import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** A relay whose open connections can go silent for good, without a reset. */
export class SilentRelay {
  readonly #server = createServer((socket) => this.#accept(socket));
  readonly #target: string;
  readonly #sockets = new Set<Socket>();

  constructor(target: string) {
    this.#target = target;
  }

  async open(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Silences all open connections; those that are opened later work. */
  silence(): void {
    for (const socket of this.#sockets) {
      socket.removeAllListeners("data");
      socket.resume();
    }
  }

  close(): void {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  #accept(near: Socket): void {
    const [host, port] = this.#target.split(":");
    const far = connect({ host: host!, port: Number(port) });
    for (const [from, to] of [[near, far], [far, near]] as const) {
      this.#sockets.add(from);
      from.on("data", (data) => to.write(data));
      from.on("error", () => undefined);
      from.on("close", () => this.#sockets.delete(from));
    }
    near.on("close", () => far.destroy());
  }
}
