/**
 * Uses a processor until it is ended.
 *
 * @module
 */

const BUSY_MS = 50;

function work(): void {
  const endMs = performance.now() + BUSY_MS;
  while (performance.now() < endMs) {
    // Nothing but the time matters.
  }
  setImmediate(work);
}

work();
