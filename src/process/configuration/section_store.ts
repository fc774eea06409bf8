/**
 * The text and version of each section, and the texts that were replaced of
 * late.
 *
 * @module
 */

import type { TeamId } from "../../base/identity.ts";

/** A section's text at one version; null once it is removed. */
export interface SectionText {
  /** `kind.name` of the section. */
  readonly section: string;
  /** The whole document's version that brought it. */
  readonly version: number;
  readonly text: string | null;
  /** When it came, by the group's time. */
  readonly atMs: number;
}

/** A text that is no longer current. */
export interface ReplacedText extends SectionText {
  readonly replacedAtMs: number;
  /** The team whose edit replaced it. */
  readonly replacedBy: TeamId;
}

/** All sections, removed ones among them till they are forgotten. */
export class SectionStore {
  readonly #current = new Map<string, SectionText>();
  #replaced: ReplacedText[] = [];
  readonly #replacedBytesByTeam = new Map<TeamId, number>();
  #currentBytes = 0;
  #replacedBytes = 0;

  constructor(
    options: {
      current?: readonly SectionText[];
      replaced?: readonly ReplacedText[];
    } = {},
  ) {
    for (const entry of options.current ?? []) {
      this.#current.set(entry.section, entry);
      this.#currentBytes += bytesOf(entry);
    }
    for (const entry of options.replaced ?? []) {
      this.#keep(entry);
    }
  }

  /** Bytes of all current texts. */
  get currentBytes(): number {
    return this.#currentBytes;
  }

  /** Bytes of all replaced texts. */
  get replacedBytes(): number {
    return this.#replacedBytes;
  }

  /** Bytes of the texts that the team's edits replaced. */
  replacedBytesOf(team: TeamId): number {
    return this.#replacedBytesByTeam.get(team) ?? 0;
  }

  current(section: string): SectionText | undefined {
    return this.#current.get(section);
  }

  /** The section's version; 0 when there is none and was none of late. */
  versionOf(section: string): number {
    return this.#current.get(section)?.version ?? 0;
  }

  /** The text that the section had at a version. */
  textAt(section: string, version: number): string | null {
    const current = this.#current.get(section);
    if (current?.version === version) {
      return current.text;
    }
    const replaced = this.#replaced.find((entry) =>
      entry.section === section && entry.version === version
    );
    return replaced?.text ?? null;
  }

  put(entry: SectionText, team: TeamId): void {
    const before = this.#current.get(entry.section);
    if (before !== undefined) {
      const replacedAtMs = entry.atMs;
      this.#keep({ ...before, replacedAtMs, replacedBy: team });
      this.#currentBytes -= bytesOf(before);
    }
    this.#current.set(entry.section, entry);
    this.#currentBytes += bytesOf(entry);
  }

  /** Forgets replaced texts and removed sections from before a moment. */
  prune(beforeMs: number): void {
    let count = 0;
    while ((this.#replaced[count]?.replacedAtMs ?? Infinity) < beforeMs) {
      this.#count(this.#replaced[count] as ReplacedText, -1);
      count++;
    }
    this.#replaced.splice(0, count);
    for (const entry of this.#current.values()) {
      if (entry.text === null && entry.atMs < beforeMs) {
        this.#current.delete(entry.section);
      }
    }
  }

  listCurrent(): SectionText[] {
    return [...this.#current.values()];
  }

  listReplaced(): ReplacedText[] {
    return [...this.#replaced];
  }

  #keep(entry: ReplacedText): void {
    this.#replaced.push(entry);
    this.#count(entry, 1);
  }

  #count(entry: ReplacedText, factor: 1 | -1): void {
    const change = factor * bytesOf(entry);
    this.#replacedBytes += change;
    const ofTeam = this.replacedBytesOf(entry.replacedBy) + change;
    if (ofTeam === 0) {
      this.#replacedBytesByTeam.delete(entry.replacedBy);
    } else {
      this.#replacedBytesByTeam.set(entry.replacedBy, ofTeam);
    }
  }
}

function bytesOf(entry: SectionText): number {
  return entry.text === null ? 0 : Buffer.byteLength(entry.text);
}
