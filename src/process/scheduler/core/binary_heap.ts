/**
 * A priority queue as a binary heap.
 *
 * @module
 */

/** A binary heap; `isBefore` tells which of two items is popped first. */
export class BinaryHeap<T> {
  readonly #items: T[] = [];
  readonly #isBefore: (left: T, right: T) => boolean;

  constructor(options: { isBefore: (left: T, right: T) => boolean }) {
    this.#isBefore = options.isBefore;
  }

  get size(): number {
    return this.#items.length;
  }

  peek(): T | undefined {
    return this.#items[0];
  }

  push(item: T): void {
    const items = this.#items;
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(item, items[parent] as T)) {
        break;
      }
      items[index] = items[parent] as T;
      index = parent;
    }
    items[index] = item;
  }

  pop(): T | undefined {
    const items = this.#items;
    const first = items[0];
    const last = items.pop();
    if (items.length > 0 && last !== undefined) {
      this.#sink(last);
    }
    return first;
  }

  #sink(item: T): void {
    const items = this.#items;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= items.length) {
        break;
      }
      const right = child + 1;
      if (
        right < items.length &&
        this.#isBefore(items[right] as T, items[child] as T)
      ) {
        child = right;
      }
      if (!this.#isBefore(items[child] as T, item)) {
        break;
      }
      items[index] = items[child] as T;
      index = child;
    }
    items[index] = item;
  }
}
