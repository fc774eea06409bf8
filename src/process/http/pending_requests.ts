/**
 * The requests of one connection whose answers aren't written yet.
 *
 * @module
 */

import type { ServerResponse } from "node:http";

interface PendingRequest {
  /** Reserved in the server's `RequestMemory`. */
  readonly bytes: number;
  readonly onClosed: () => void;
}

/** The requests in the order in which they began. */
export class PendingRequests {
  readonly #byResponse = new Map<ServerResponse, PendingRequest>();

  get size(): number {
    return this.#byResponse.size;
  }

  /** Whether some request was read to its end. */
  get hasComplete(): boolean {
    return [...this.#byResponse.keys()].some(({ req }) => req.complete);
  }

  /** Adds a request; `onClosed` is called if it is still pending at `clear`. */
  add(response: ServerResponse, bytes: number, onClosed: () => void): void {
    this.#byResponse.set(response, { bytes, onClosed });
  }

  /** Removes a request; returns its reserved bytes, if it was pending. */
  remove(response: ServerResponse): number | undefined {
    const bytes = this.#byResponse.get(response)?.bytes;
    this.#byResponse.delete(response);
    return bytes;
  }

  /** Removes all requests; returns the bytes reserved for them. */
  clear(): number {
    const requests = [...this.#byResponse.values()];
    this.#byResponse.clear();
    requests.forEach(({ onClosed }) => onClosed());
    return requests.reduce((sum, { bytes }) => sum + bytes, 0);
  }
}
