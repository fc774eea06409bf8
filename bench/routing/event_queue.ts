/**
 * A queue of events in simulated time, for the load sweeps.
 *
 * @module
 */

interface TimedAction {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

/** A binary heap of actions by time, then by order of insertion. */
export class EventQueue {
  readonly #heap: TimedAction[] = [];
  #order = 0;
  #nowMs = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  at(atMs: number, action: () => void): void {
    const added = { atMs, order: this.#order++, action };
    this.#heap.push(added);
    this.#siftUp(this.#heap.length - 1);
  }

  after(delayMs: number, action: () => void): void {
    this.at(this.#nowMs + delayMs, action);
  }

  /** Runs all actions due at or before `endMs`. */
  runUntil(endMs: number): void {
    let next = this.#heap[0];
    while (next !== undefined && next.atMs <= endMs) {
      this.#removeFirst();
      this.#nowMs = next.atMs;
      next.action();
      next = this.#heap[0];
    }
    this.#nowMs = endMs;
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last !== undefined && this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown();
    }
  }

  #siftUp(from: number): void {
    let at = from;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!this.#isBefore(at, parent)) {
        return;
      }
      this.#swap(at, parent);
      at = parent;
    }
  }

  #siftDown(): void {
    let at = 0;
    for (;;) {
      const left = 2 * at + 1;
      const right = left + 1;
      let first = at;
      if (left < this.#heap.length && this.#isBefore(left, first)) {
        first = left;
      }
      if (right < this.#heap.length && this.#isBefore(right, first)) {
        first = right;
      }
      if (first === at) {
        return;
      }
      this.#swap(at, first);
      at = first;
    }
  }

  #isBefore(left: number, right: number): boolean {
    const a = this.#heap[left];
    const b = this.#heap[right];
    if (a === undefined || b === undefined) {
      return false;
    }
    return a.atMs === b.atMs ? a.order < b.order : a.atMs < b.atMs;
  }

  #swap(left: number, right: number): void {
    const a = this.#heap[left];
    const b = this.#heap[right];
    if (a !== undefined && b !== undefined) {
      this.#heap[left] = b;
      this.#heap[right] = a;
    }
  }
}
