/**
 * The text and version of each section, and recently replaced texts.
 *
 * @module
 */

import type { TeamId } from "../../base/identity.ts";

/** A section's text at one version; null if that version removed it. */
export interface SectionText {
  /** `kind.name` of the section. */
  readonly section: string;
  /** The document version that set this text. */
  readonly version: number;
  readonly text: string | null;
  /** When the text was set, in group time. */
  readonly atMs: number;
}

/** A text that is no longer current. */
export interface ReplacedText extends SectionText {
  readonly replacedAtMs: number;
  /** The team whose edit replaced it. */
  readonly replacedBy: TeamId;
}

/** All sections, including removed ones until they are pruned. */
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
      this.#addReplaced(entry);
    }
  }

  /** Total bytes of the current texts. */
  get currentBytes(): number {
    return this.#currentBytes;
  }

  /** Total bytes of the replaced texts. */
  get replacedBytes(): number {
    return this.#replacedBytes;
  }

  /** Total bytes of the texts that the team's edits replaced. */
  replacedBytesOf(team: TeamId): number {
    return this.#replacedBytesByTeam.get(team) ?? 0;
  }

  current(section: string): SectionText | undefined {
    return this.#current.get(section);
  }

  /** The section's version, also if removed recently; 0 if not known. */
  versionOf(section: string): number {
    return this.#current.get(section)?.version ?? 0;
  }

  /** The section's text at a version; null if removed or no longer kept. */
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
    const previous = this.#current.get(entry.section);
    if (previous !== undefined) {
      const replacedAtMs = entry.atMs;
      this.#addReplaced({ ...previous, replacedAtMs, replacedBy: team });
      this.#currentBytes -= bytesOf(previous);
    }
    this.#current.set(entry.section, entry);
    this.#currentBytes += bytesOf(entry);
  }

  /** Drops texts replaced and sections removed before `beforeMs`. */
  prune(beforeMs: number): void {
    let count = 0;
    while ((this.#replaced[count]?.replacedAtMs ?? Infinity) < beforeMs) {
      this.#countReplacedBytes(this.#replaced[count] as ReplacedText, -1);
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

  #addReplaced(entry: ReplacedText): void {
    this.#replaced.push(entry);
    this.#countReplacedBytes(entry, 1);
  }

  #countReplacedBytes(entry: ReplacedText, factor: 1 | -1): void {
    const change = factor * bytesOf(entry);
    this.#replacedBytes += change;
    const teamBytes = this.replacedBytesOf(entry.replacedBy) + change;
    if (teamBytes === 0) {
      this.#replacedBytesByTeam.delete(entry.replacedBy);
    } else {
      this.#replacedBytesByTeam.set(entry.replacedBy, teamBytes);
    }
  }
}

function bytesOf(entry: SectionText): number {
  return entry.text === null ? 0 : Buffer.byteLength(entry.text);
}
