/**
 * The queue of one service's calls that wait for a slot.
 *
 * @module
 */

/** The properties of a call that the queue depends on. */
export interface QueuedCall {
  readonly requestClass: string;
  readonly rank: number;
  readonly deadlineMs: number;
}

/** Calls ordered by rank of their class, then deadline, then arrival. */
export class CallQueue<Call extends QueuedCall> {
  #calls: Call[] = [];
  #countByClass = new Map<string, number>();

  get size(): number {
    return this.#calls.length;
  }

  get calls(): readonly Call[] {
    return this.#calls;
  }

  countOf(requestClass: string): number {
    return this.#countByClass.get(requestClass) ?? 0;
  }

  /** Number of queued calls that come before this one. */
  countBefore(call: QueuedCall): number {
    return this.#insertionIndex(call);
  }

  add(call: Call): void {
    this.#calls.splice(this.#insertionIndex(call), 0, call);
    this.#count(call, 1);
  }

  remove(call: Call): boolean {
    const index = this.#calls.indexOf(call);
    if (index < 0) {
      return false;
    }
    this.#calls.splice(index, 1);
    this.#count(call, -1);
    return true;
  }

  /** Removes and returns every call that matches. */
  removeWhere(matches: (call: Call) => boolean): Call[] {
    const removed = this.#calls.filter(matches);
    if (removed.length > 0) {
      this.#calls = this.#calls.filter((call) => !removed.includes(call));
      removed.forEach((call) => this.#count(call, -1));
    }
    return removed;
  }

  #insertionIndex(call: QueuedCall): number {
    let low = 0;
    let high = this.#calls.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#calls[middle];
      if (other !== undefined && compare(other, call) <= 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  #count(call: Call, by: number): void {
    const { requestClass } = call;
    this.#countByClass.set(requestClass, this.countOf(requestClass) + by);
  }
}

function compare(left: QueuedCall, right: QueuedCall): number {
  return left.rank - right.rank || left.deadlineMs - right.deadlineMs;
}
