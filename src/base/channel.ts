/**
 * Turns callbacks into `most` streams.
 *
 * @module
 */

import { type Sink, Stream } from "most";

/**
 * A hot stream into which its owner pushes values. Observers receive the
 * values pushed while they are subscribed; nothing is buffered or replayed.
 */
export class Channel<T> {
  #sinks = new Set<Sink<T>>();
  #closed = false;

  /** The values pushed after subscription; ends when the channel closes. */
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

  /** Passes `value` to every observer synchronously. */
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
