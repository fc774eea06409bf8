/**
 * Which cores count as lost: from the loss until a time after the core, or the
 * one that takes its place, has started.
 *
 * @module
 */

/** Options of a {@link LossLedger}. */
export interface LossLedgerOptions {
  /** How many cores may be lost at once. */
  readonly lossesBorne: number;
  /** How long a core that has started still counts as lost. */
  readonly catchUpMs: number;
}

/** Keeps plays from losing more than the settings say is borne. */
export class LossLedger {
  readonly #options: LossLedgerOptions;
  /** When each core that was lost stops counting, if that is known. */
  readonly #endsAtMs = new Map<string, number | undefined>();

  constructor(options: LossLedgerOptions) {
    this.#options = options;
  }

  /** Counts a core as lost; throws if that would be one too many. */
  lose(name: string, atMs: number): void {
    const { lossesBorne } = this.#options;
    if (this.isLost(name, atMs)) {
      throw new Error(`${name} is lost already`);
    }
    if (this.#countAt(atMs) >= lossesBorne) {
      throw new Error(`more than ${lossesBorne} cores would be lost at once`);
    }
    this.#endsAtMs.set(name, undefined);
  }

  /** The lost core started or went on, or another one started in its place. */
  start(name: string, atMs: number, options: { as?: string } = {}): void {
    this.#endsAtMs.delete(name);
    const endMs = atMs + this.#options.catchUpMs;
    this.#endsAtMs.set(options.as ?? name, endMs);
  }

  isLost(name: string, atMs: number): boolean {
    return this.#endsAtMs.has(name) &&
      (this.#endsAtMs.get(name) ?? Infinity) > atMs;
  }

  /** The first time from which `count` more may be lost; Infinity if unknown. */
  earliestMs(count: number): number {
    const { lossesBorne } = this.#options;
    if (count > lossesBorne) {
      return Infinity;
    }
    const endsAtMs = [...this.#endsAtMs.values()]
      .map((endMs) => endMs ?? Infinity)
      .sort((a, b) => b - a);
    // All but the latest that may still count then have to be over.
    return endsAtMs[lossesBorne - count] ?? 0;
  }

  #countAt(atMs: number): number {
    return [...this.#endsAtMs.keys()]
      .filter((name) => this.isLost(name, atMs)).length;
  }
}
