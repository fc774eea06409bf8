/**
 * A priority queue.
 *
 * @module
 */

/** A binary heap; `isBefore` says which of two comes out first. */
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
    let at = items.length;
    items.push(item);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!this.#isBefore(item, items[parent] as T)) {
        break;
      }
      items[at] = items[parent] as T;
      at = parent;
    }
    items[at] = item;
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
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
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
      items[at] = items[child] as T;
      at = child;
    }
    items[at] = item;
  }
}
