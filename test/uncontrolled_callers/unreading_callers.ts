/**
 * Connections that send a load and don't read the answers.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import { BYTES_PER_CONNECTION, type CallerLoad } from "./caller_loads.ts";

/** Where a load is sent. */
export interface LoadTarget {
  readonly host: string;
  readonly port: number;
  readonly path: string;
}

/** How much text is built at once. */
const CHUNK_BYTES = 65_536;

/** A group of connections; each sends until it is closed or has sent all. */
export class UnreadingCallers {
  readonly #sockets: Socket[] = [];
  #sending = 0;
  #sentBytes = 0;

  constructor(
    options: { load: CallerLoad; target: LoadTarget; connections: number },
  ) {
    for (let at = 0; at < options.connections; at++) {
      this.#open(options.load, options.target);
    }
  }

  /** Connections that are neither closed nor have sent all. */
  get sending(): number {
    return this.#sending;
  }

  /** Bytes handed to the operating system on all connections. */
  get sentBytes(): number {
    return this.#sentBytes;
  }

  close(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #open(load: CallerLoad, target: LoadTarget): void {
    const socket = connect(target.port, target.host);
    this.#sockets.push(socket);
    this.#sending += 1;
    let isSending = true;
    const stop = () => {
      this.#sending -= isSending ? 1 : 0;
      isSending = false;
    };
    socket.on("error", stop);
    socket.on("close", stop);
    socket.pause();
    let sent = 0;
    let requests = 0;
    const limitBytes = load.bytesPerConnection ?? BYTES_PER_CONNECTION;
    const sendMore = () => {
      if (sent >= limitBytes) {
        stop();
        return;
      }
      const texts: string[] = [];
      const chunkBytes = Math.min(CHUNK_BYTES, limitBytes - sent);
      for (let bytes = 0; bytes < chunkBytes;) {
        const text = load.request(target.path, requests++);
        texts.push(text);
        bytes += text.length;
      }
      const chunk = Buffer.from(texts.join(""), "latin1");
      sent += chunk.length;
      socket.write(chunk, (error) => {
        if (error === undefined || error === null) {
          this.#sentBytes += chunk.length;
          sendMore();
        }
      });
    };
    socket.once("connect", sendMore);
  }
}
