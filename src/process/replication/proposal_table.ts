/**
 * Proposed commands that wait for their result: those about to be appended to
 * this leader's log, and those in it.
 *
 * @module
 */

/** The result of a proposed command. */
export type ProposalResult<Outcome> =
  | { readonly kind: "applied"; readonly outcome: Outcome }
  /** It was never appended to a log. */
  | { readonly kind: "notAppended" }
  /** Another entry was committed at its index. */
  | { readonly kind: "discarded" }
  /** It may still be committed. */
  | { readonly kind: "unknown" };

/** Called once, when the result of the command is known. */
export type ProposalListener<Outcome> = (
  result: ProposalResult<Outcome>,
) => void;

interface AppendedProposal<Outcome> {
  readonly term: number;
  readonly listener: ProposalListener<Outcome>;
}

/** The listeners of proposed commands. */
export class ProposalTable<Outcome> {
  #unappended = new Map<number, ProposalListener<Outcome>>();
  #appended = new Map<number, AppendedProposal<Outcome>>();
  #nextToken = 1;

  /** Whether no proposal is pending. */
  get isEmpty(): boolean {
    return this.#unappended.size === 0 && this.#appended.size === 0;
  }

  /** Registers a command that is about to be appended. */
  add(listener: ProposalListener<Outcome>): number {
    const token = this.#nextToken;
    this.#nextToken += 1;
    this.#unappended.set(token, listener);
    return token;
  }

  markAppended(token: number, position: { index: number; term: number }): void {
    const listener = this.#unappended.get(token);
    this.#unappended.delete(token);
    if (listener !== undefined) {
      // The earlier entry at this index is gone from this log, but another
      // member may still have it and commit it after this one stops leading.
      this.#finish(position.index, { kind: "unknown" });
      this.#appended.set(position.index, { term: position.term, listener });
    }
  }

  markRejected(token: number): void {
    const listener = this.#unappended.get(token);
    this.#unappended.delete(token);
    listener?.({ kind: "notAppended" });
  }

  /**
   * The entry at `index` was applied; `command` is undefined for other kinds.
   */
  markApplied(
    index: number,
    applied: { term: number; command: { outcome: Outcome } | undefined },
  ): void {
    const { command } = applied;
    const isSame = this.#appended.get(index)?.term === applied.term &&
      command !== undefined;
    this.#finish(
      index,
      isSame
        ? { kind: "applied", outcome: command.outcome }
        : { kind: "discarded" },
    );
  }

  /** A snapshot replaced the entries up to `throughIndex`. */
  markSkipped(throughIndex: number): void {
    for (const index of [...this.#appended.keys()]) {
      if (index <= throughIndex) {
        this.#finish(index, { kind: "unknown" });
      }
    }
  }

  /** Ends all proposals, as no more results will arrive. */
  finishAll(): void {
    for (const token of [...this.#unappended.keys()]) {
      this.markRejected(token);
    }
    this.markSkipped(Infinity);
  }

  #finish(index: number, result: ProposalResult<Outcome>): void {
    const proposal = this.#appended.get(index);
    this.#appended.delete(index);
    proposal?.listener(result);
  }
}
