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

/** How one sending ended. */
type CorrelationEnd = "answered" | "givenUp";

/**
 * Remembers how the latest sendings ended, to name faults rightly. The two
 * halves take turns, so that forgetting costs nothing.
 */
export class CorrelationMemory {
  readonly #limit: number;
  #newer = new Map<string, CorrelationEnd>();
  #older = new Map<string, CorrelationEnd>();

  constructor(options: { limit: number }) {
    this.#limit = options.limit;
  }

  remember(correlationId: string, end: CorrelationEnd): void {
    if (this.#newer.size >= this.#limit / 2) {
      this.#older = this.#newer;
      this.#newer = new Map();
    }
    this.#newer.set(correlationId, end);
  }

  /** The fault of an answer that names another sending than was awaited. */
  classify(correlationId: string | undefined): AnswerFault {
    const known = correlationId ?? "";
    switch (this.#newer.get(known) ?? this.#older.get(known)) {
      case "answered":
        return AnswerFault.doubled;
      case "givenUp":
        return AnswerFault.late;
      case undefined:
        return AnswerFault.crossed;
    }
  }
}
