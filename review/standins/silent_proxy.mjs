/**
 * A proxy in front of a worker. While it is silent, as a link that is cut,
 * nothing passes either way. What was held up arrives later if the sender's
 * connection is still open, and is lost otherwise.
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
    const link = { caller, worker: undefined, toWorker: [], toCaller: [] };
    this.#links.add(link);
    const end = () => {
      this.#links.delete(link);
      caller.destroy();
      link.worker?.destroy();
    };
    const worker = connect({ host, port: Number(port) });
    link.worker = worker;
    for (const socket of [caller, worker]) {
      socket.on("error", end);
      socket.on("close", end);
    }
    caller.on("data", (bytes) => this.#pass(bytes, worker, link.toWorker));
    worker.on("data", (bytes) => this.#pass(bytes, caller, link.toCaller));
  }

  #pass(bytes, receiver, held) {
    if (this.#isSilent) {
      held.push(bytes);
    } else {
      receiver.write(bytes);
    }
  }

  /** From now on nothing passes. */
  silence() {
    this.#isSilent = true;
  }

  /** Passes what was held up on connections that are still open, and all else. */
  heal() {
    this.#isSilent = false;
    for (const { caller, worker, toWorker, toCaller } of this.#links) {
      toWorker.splice(0).forEach((bytes) => worker.write(bytes));
      toCaller.splice(0).forEach((bytes) => caller.write(bytes));
    }
  }

  close() {
    this.#server.close();
    this.#links.forEach(({ caller }) => caller.destroy());
  }
}
