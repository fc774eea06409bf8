/**
 * What can be wrong with what a backend server sends back.
 *
 * @module
 */

/** Why an answer was kept from the caller. */
export const AnswerFault = {
  /** It came after its request had been given up. */
  late: "late",
  /** It belongs to another request. */
  crossed: "crossed",
  /** It belongs to a request that was answered already. */
  doubled: "doubled",
  /** It ended early, or nothing tells where it ends. */
  truncated: "truncated",
  /** It is over the service's limit. */
  tooLarge: "tooLarge",
} as const;

/** One of the values of {@link AnswerFault}. */
export type AnswerFault = typeof AnswerFault[keyof typeof AnswerFault];

/** Remembers how the latest sendings ended, to name faults rightly. */
export class CorrelationMemory {
  readonly #limit: number;
  readonly #ends = new Map<string, "answered" | "givenUp">();

  constructor(options: { limit: number }) {
    this.#limit = options.limit;
  }

  remember(correlationId: string, end: "answered" | "givenUp"): void {
    this.#ends.set(correlationId, end);
    if (this.#ends.size > this.#limit) {
      const [oldest] = this.#ends.keys();
      this.#ends.delete(oldest ?? correlationId);
    }
  }

  /** The fault of an answer that names another sending than was awaited. */
  classify(correlationId: string | undefined): AnswerFault {
    const end = correlationId === undefined
      ? undefined
      : this.#ends.get(correlationId);
    switch (end) {
      case "answered":
        return AnswerFault.doubled;
      case "givenUp":
        return AnswerFault.late;
      case undefined:
        return AnswerFault.crossed;
    }
  }
}
