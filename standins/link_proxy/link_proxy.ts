/**
 * A stand-in for a link between two places: carries TCP connections, and can
 * be told to delay them, to hold back what they carry, or to cut them.
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

/** What the link does to the bytes it carries. */
export const LinkMode = {
  /** Carries everything, after the delay. */
  open: "open",
  /** Accepts and keeps connections, and carries nothing: a silent cut. */
  silent: "silent",
  /** Ends every connection and refuses new ones. */
  cut: "cut",
} as const;

/** One of the values of {@link LinkMode}. */
export type LinkMode = typeof LinkMode[keyof typeof LinkMode];

/** How a {@link LinkProxy} is made. */
export interface LinkProxyOptions {
  readonly listenPort: number;
  readonly targetHost: string;
  readonly targetPort: number;
  readonly delayMs?: number;
}

/** One direction of one carried connection. */
interface Flow {
  readonly from: Socket;
  readonly to: Socket;
  readonly held: Uint8Array[];
}

/** A link on loopback. */
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

  /** Starts to listen; gives the port. */
  async open(): Promise<number> {
    this.#server.listen(this.#options.listenPort, "127.0.0.1");
    await once(this.#server, "listening");
    return (this.#server.address() as AddressInfo).port;
  }

  /** Changes what the link does, for old and new connections. */
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
    this.#carry(socket, target);
    this.#carry(target, socket);
  }

  #carry(from: Socket, to: Socket): void {
    const flow: Flow = { from, to, held: [] };
    this.#flows.add(flow);
    from.on("data", (bytes) => this.#pass(flow, bytes));
    from.on("error", () => undefined);
    from.on("close", () => {
      this.#flows.delete(flow);
      to.destroy();
    });
  }

  #pass(flow: Flow, bytes: Uint8Array): void {
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
