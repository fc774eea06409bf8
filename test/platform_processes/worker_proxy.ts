/**
 * The link from the cores to one worker. It can refuse connections, hold back
 * what passes one way or both, and delay answers.
 *
 * @module
 */

import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";

/** What the link does with connections and their bytes. */
export interface LinkFault {
  /** Connections are reset, and new ones refused. */
  readonly refuses?: boolean;
  readonly holdsToWorker?: boolean;
  readonly holdsToCaller?: boolean;
  readonly delayToWorkerMs?: number;
  readonly delayToCallerMs?: number;
  /**
   * What a caller sent still arrives after it closed its connection, as it does
   * from a kernel's buffer.
   */
  readonly deliversAfterClose?: boolean;
}

interface Flow {
  readonly from: Socket;
  readonly to: Socket;
  readonly isToWorker: boolean;
  readonly held: Uint8Array[];
}

interface Connection {
  readonly caller: Socket;
  readonly worker: Socket;
  readonly flows: readonly Flow[];
}

/** A link that is whole until a fault is set. */
export class WorkerProxy {
  readonly #options: { host: string; port: number; targetHost: string };
  readonly #connections = new Set<Connection>();
  #server: Server | undefined;
  #fault: LinkFault = {};

  constructor(options: { host: string; port: number; targetHost: string }) {
    this.#options = options;
  }

  async open(): Promise<void> {
    const server = createServer((caller) => this.#join(caller));
    this.#server = server;
    server.listen(this.#options.port, this.#options.host);
    await once(server, "listening");
  }

  async set(fault: LinkFault): Promise<void> {
    const wasRefusing = this.#fault.refuses === true;
    this.#fault = fault;
    if (fault.refuses === true) {
      this.#server?.close();
      this.reset();
    } else if (wasRefusing) {
      await this.open();
    }
    this.#connections.forEach(({ flows }) =>
      flows.forEach((flow) => this.#flush(flow))
    );
  }

  heal(): Promise<void> {
    return this.set({});
  }

  /** Resets all connections. */
  reset(): void {
    for (const { caller, worker } of this.#connections) {
      caller.resetAndDestroy();
      worker.destroy();
    }
  }

  close(): void {
    this.#server?.close();
    this.#connections.forEach(({ caller, worker }) => {
      caller.destroy();
      worker.destroy();
    });
  }

  #join(caller: Socket): void {
    const { port, targetHost } = this.#options;
    const worker = connect({ host: targetHost, port });
    caller.setNoDelay();
    worker.setNoDelay();
    const toWorker: Flow = {
      from: caller,
      to: worker,
      isToWorker: true,
      held: [],
    };
    const toCaller: Flow = {
      from: worker,
      to: caller,
      isToWorker: false,
      held: [],
    };
    const connection = { caller, worker, flows: [toWorker, toCaller] };
    this.#connections.add(connection);
    caller.on("data", (bytes) => this.#pass(toWorker, bytes));
    worker.on("data", (bytes) => this.#pass(toCaller, bytes));
    caller.on("error", () => undefined);
    worker.on("error", () => undefined);
    worker.on("close", () => {
      this.#connections.delete(connection);
      caller.destroy();
    });
    caller.on("close", () => {
      if (
        toWorker.held.length === 0 || this.#fault.deliversAfterClose !== true
      ) {
        worker.destroy();
      }
    });
  }

  #pass(flow: Flow, bytes: Uint8Array): void {
    flow.held.push(bytes);
    const delayMs = flow.isToWorker
      ? this.#fault.delayToWorkerMs
      : this.#fault.delayToCallerMs;
    if (delayMs === undefined) {
      this.#flush(flow);
    } else {
      setTimeout(() => this.#flush(flow), delayMs);
    }
  }

  #flush(flow: Flow): void {
    const isHeld = flow.isToWorker
      ? this.#fault.holdsToWorker
      : this.#fault.holdsToCaller;
    if (isHeld !== true && !flow.to.destroyed) {
      flow.held.splice(0).forEach((bytes) => flow.to.write(bytes));
      if (flow.from.destroyed) {
        flow.to.end();
      }
    }
  }
}
