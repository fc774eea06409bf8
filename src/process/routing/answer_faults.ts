/**
 * Faults of the answers of backend servers.
 *
 * @module
 */

/** Why an answer was withheld from the caller. */
export const AnswerFault = {
  /** It came after its attempt or its call had ended without an answer. */
  late: "late",
  /** It belongs to another request, or has no correlation ID. */
  crossed: "crossed",
  /** Its attempt was answered already, or the bytes came unrequested. */
  doubled: "doubled",
  /** It ended early, or no header says where it ends. */
  truncated: "truncated",
  /** It is over the service's size limit. */
  tooLarge: "tooLarge",
} as const;

/** One of the values of {@link AnswerFault}. */
export type AnswerFault = typeof AnswerFault[keyof typeof AnswerFault];

/** How one attempt ended. */
type CorrelationOutcome = "answered" | "unanswered";

/**
 * Records how recent attempts ended, to classify faulty answers. The records
 * are kept in two generations, so that the oldest are dropped at no cost.
 */
export class RecentCorrelations {
  readonly #limit: number;
  #newer = new Map<string, CorrelationOutcome>();
  #older = new Map<string, CorrelationOutcome>();

  constructor(options: { limit: number }) {
    this.#limit = options.limit;
  }

  record(correlationId: string, outcome: CorrelationOutcome): void {
    if (this.#newer.size >= this.#limit / 2) {
      this.#older = this.#newer;
      this.#newer = new Map();
    }
    this.#newer.set(correlationId, outcome);
  }

  /** The fault of an answer with an unexpected correlation ID. */
  classify(correlationId: string | undefined): AnswerFault {
    const id = correlationId ?? "";
    switch (this.#newer.get(id) ?? this.#older.get(id)) {
      case "answered":
        return AnswerFault.doubled;
      case "unanswered":
        return AnswerFault.late;
      case undefined:
        return AnswerFault.crossed;
    }
  }
}
