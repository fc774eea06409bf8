/**
 * A TCP proxy that simulates a network link: it can delay or hold back bytes,
 * and close connections.
 *
 * @module
 */

import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { once } from "node:events";

/** How the link treats connections. */
export const LinkMode = {
  /** Forwards everything, after the delay. */
  open: "open",
  /** Keeps connections, but holds back all bytes until it is open again. */
  silent: "silent",
  /** Closes all connections, and new ones as soon as they are accepted. */
  cut: "cut",
} as const;

/** One of the values of {@link LinkMode}. */
export type LinkMode = typeof LinkMode[keyof typeof LinkMode];

/** Options of {@link LinkProxy}. */
export interface LinkProxyOptions {
  readonly listenPort: number;
  readonly targetHost: string;
  readonly targetPort: number;
  readonly delayMs?: number;
}

/** One direction of one forwarded connection. */
interface Flow {
  readonly from: Socket;
  readonly to: Socket;
  readonly held: Uint8Array[];
}

/** A link from a loopback port to a target address. */
export class LinkProxy {
  #options: LinkProxyOptions;
  #server: Server;
  #flows = new Set<Flow>();
  #mode: LinkMode = LinkMode.open;
  #delayMs: number;

  constructor(options: LinkProxyOptions) {
    this.#options = options;
    this.#delayMs = options.delayMs ?? 0;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts to listen; returns the port. */
  async open(): Promise<number> {
    this.#server.listen(this.#options.listenPort, "127.0.0.1");
    await once(this.#server, "listening");
    return (this.#server.address() as AddressInfo).port;
  }

  /** Changes the mode or delay, for open connections as well. */
  set(options: { mode?: LinkMode; delayMs?: number }): void {
    this.#mode = options.mode ?? this.#mode;
    this.#delayMs = options.delayMs ?? this.#delayMs;
    if (this.#mode === LinkMode.cut) {
      this.#endAll();
    }
    if (this.#mode === LinkMode.open) {
      this.#flushAll();
    }
  }

  async close(): Promise<void> {
    this.#endAll();
    this.#server.close();
    await once(this.#server, "close");
  }

  #accept(socket: Socket): void {
    if (this.#mode === LinkMode.cut) {
      socket.destroy();
      return;
    }
    const { targetHost, targetPort } = this.#options;
    const target = connect(targetPort, targetHost);
    this.#forward(socket, target);
    this.#forward(target, socket);
  }

  #forward(from: Socket, to: Socket): void {
    const flow: Flow = { from, to, held: [] };
    this.#flows.add(flow);
    from.on("data", (bytes) => this.#onBytes(flow, bytes));
    from.on("error", () => undefined);
    from.on("close", () => {
      this.#flows.delete(flow);
      to.destroy();
    });
  }

  #onBytes(flow: Flow, bytes: Uint8Array): void {
    if (this.#mode === LinkMode.silent) {
      flow.held.push(bytes);
      return;
    }
    if (this.#delayMs === 0) {
      flow.to.write(bytes);
      return;
    }
    setTimeout(() => this.#deliver(flow, bytes), this.#delayMs);
  }

  #deliver(flow: Flow, bytes: Uint8Array): void {
    if (this.#mode === LinkMode.silent) {
      flow.held.push(bytes);
    } else if (!flow.to.destroyed) {
      flow.to.write(bytes);
    }
  }

  #flushAll(): void {
    for (const flow of this.#flows) {
      for (const bytes of flow.held.splice(0)) {
        flow.to.write(bytes);
      }
    }
  }

  #endAll(): void {
    for (const flow of [...this.#flows]) {
      flow.from.destroy();
      flow.to.destroy();
    }
  }
}
