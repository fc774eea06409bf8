/**
 * The calls of one service that wait for a slot: by rank of class, within a
 * rank by deadline.
 *
 * @module
 */

/** What the queues need to know of a call. */
export interface QueuedCall {
  readonly requestClass: string;
  readonly rank: number;
  readonly deadlineMs: number;
}

/** Sorted by rank, then deadline, then arrival. */
export class ClassQueues<Call extends QueuedCall> {
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

  /** How many calls would go before this one. */
  countBefore(call: QueuedCall): number {
    return this.#placeOf(call);
  }

  add(call: Call): void {
    this.#calls.splice(this.#placeOf(call), 0, call);
    this.#count(call, 1);
  }

  remove(call: Call): boolean {
    const at = this.#calls.indexOf(call);
    if (at < 0) {
      return false;
    }
    this.#calls.splice(at, 1);
    this.#count(call, -1);
    return true;
  }

  /** Takes out every call for which `isDue` holds. */
  removeWhere(isDue: (call: Call) => boolean): Call[] {
    const due = this.#calls.filter(isDue);
    if (due.length > 0) {
      this.#calls = this.#calls.filter((call) => !due.includes(call));
      due.forEach((call) => this.#count(call, -1));
    }
    return due;
  }

  #placeOf(call: QueuedCall): number {
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
