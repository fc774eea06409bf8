/**
 * Commands on their way: those in this leader's log, and those that were
 * passed on to another leader.
 *
 * @module
 */

/** How a command ended. */
export type ProposalEnd<Outcome> =
  | { readonly kind: "applied"; readonly outcome: Outcome }
  /** It never got into a log. */
  | { readonly kind: "notAppended" }
  /** Another entry was committed in its place. */
  | { readonly kind: "discarded" }
  /** It may be committed still. */
  | { readonly kind: "unknown" };

/** Called once, when it is known how the command ended. */
export type ProposalListener<Outcome> = (end: ProposalEnd<Outcome>) => void;

interface LoggedProposal<Outcome> {
  readonly term: number;
  readonly listener: ProposalListener<Outcome>;
}

/** Who waits for which command. */
export class ProposalTable<Outcome> {
  #unlogged = new Map<number, ProposalListener<Outcome>>();
  #logged = new Map<number, LoggedProposal<Outcome>>();
  #nextToken = 1;

  /** Whether nobody waits. */
  get isEmpty(): boolean {
    return this.#unlogged.size === 0 && this.#logged.size === 0;
  }

  /** Registers a command that is about to go into the log. */
  add(listener: ProposalListener<Outcome>): number {
    const token = this.#nextToken;
    this.#nextToken += 1;
    this.#unlogged.set(token, listener);
    return token;
  }

  markLogged(token: number, place: { index: number; term: number }): void {
    const listener = this.#unlogged.get(token);
    this.#unlogged.delete(token);
    if (listener !== undefined) {
      // The entry that stood there is gone from this log, but another member
      // may have it still and commit it once this one leads no more.
      this.#end(place.index, { kind: "unknown" });
      this.#logged.set(place.index, { term: place.term, listener });
    }
  }

  markRefused(token: number): void {
    const listener = this.#unlogged.get(token);
    this.#unlogged.delete(token);
    listener?.({ kind: "notAppended" });
  }

  /** The entry at `index` was applied; `command` is absent for others. */
  markApplied(
    index: number,
    applied: { term: number; command: { outcome: Outcome } | undefined },
  ): void {
    const { command } = applied;
    const isSame = this.#logged.get(index)?.term === applied.term &&
      command !== undefined;
    this.#end(
      index,
      isSame
        ? { kind: "applied", outcome: command.outcome }
        : { kind: "discarded" },
    );
  }

  /** A snapshot went past these entries. */
  markSkipped(throughIndex: number): void {
    for (const index of [...this.#logged.keys()]) {
      if (index <= throughIndex) {
        this.#end(index, { kind: "unknown" });
      }
    }
  }

  /** Nothing more will be heard. */
  endAll(): void {
    for (const token of [...this.#unlogged.keys()]) {
      this.markRefused(token);
    }
    this.markSkipped(Infinity);
  }

  #end(index: number, end: ProposalEnd<Outcome>): void {
    const proposal = this.#logged.get(index);
    this.#logged.delete(index);
    proposal?.listener(end);
  }
}
