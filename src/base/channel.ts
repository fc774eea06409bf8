/**
 * The bridge from callbacks to `most` streams.
 *
 * @module
 */

import { type Sink, Stream } from "most";

/**
 * A hot stream that its owner pushes values into. Every observer gets each
 * value pushed while it observes; nothing is kept for later observers.
 */
export class Channel<T> {
  #sinks = new Set<Sink<T>>();
  #closed = false;

  /** The values pushed from now on; it ends when the channel closes. */
  readonly stream: Stream<T> = new Stream<T>({
    run: (sink, scheduler) => {
      if (this.#closed) {
        sink.end(scheduler.now());
        return { dispose: () => undefined };
      }
      this.#sinks.add(sink);
      return { dispose: () => void this.#sinks.delete(sink) };
    },
  });

  /** Hands `value` to every observer, in the same turn of the loop. */
  push(value: T): void {
    const time = Date.now();
    for (const sink of [...this.#sinks]) {
      sink.event(time, value);
    }
  }

  close(): void {
    this.#closed = true;
    const time = Date.now();
    for (const sink of [...this.#sinks]) {
      sink.end(time);
    }
    this.#sinks.clear();
  }
}
