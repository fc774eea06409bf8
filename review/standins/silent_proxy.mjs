/**
 * A proxy in front of a worker. While it is silent, as a link that passes one
 * way only, nothing that callers send arrives. What was held up arrives later
 * if the caller's connection is still open, and is lost otherwise.
 */

import { connect, createServer } from "node:net";

export class SilentProxy {
  #target;
  #server;
  #isSilent = false;
  #links = new Set();

  constructor({ host, target }) {
    this.#target = target;
    this.host = host;
    this.#server = createServer((caller) => this.#join(caller));
  }

  async open() {
    await new Promise((done) => this.#server.listen(0, this.host, done));
    return `${this.host}:${this.#server.address().port}`;
  }

  #join(caller) {
    const [host, port] = this.#target.split(":");
    const link = { caller, worker: undefined, held: [] };
    this.#links.add(link);
    const end = () => {
      this.#links.delete(link);
      caller.destroy();
      link.worker?.destroy();
    };
    caller.on("error", end);
    caller.on("close", end);
    caller.on("data", (bytes) => this.#pass(link, bytes));
    link.worker = connect({ host, port: Number(port) });
    link.worker.on("error", end);
    link.worker.on("close", end);
    link.worker.on("data", (bytes) => caller.write(bytes));
  }

  #pass(link, bytes) {
    if (this.#isSilent) {
      link.held.push(bytes);
    } else {
      link.worker.write(bytes);
    }
  }

  /** From now on nothing that callers send arrives. */
  silence() {
    this.#isSilent = true;
  }

  /** Passes what was held up on connections that are still open, and all else. */
  heal() {
    this.#isSilent = false;
    for (const link of this.#links) {
      link.held.splice(0).forEach((bytes) => link.worker.write(bytes));
    }
  }

  close() {
    this.#server.close();
    this.#links.forEach(({ caller }) => caller.destroy());
  }
}
