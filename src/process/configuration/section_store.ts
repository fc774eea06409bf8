/**
 * The text and version of each section, and the texts that were replaced of
 * late.
 *
 * @module
 */

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
}

/** All sections, removed ones among them till they are forgotten. */
export class SectionStore {
  readonly #current = new Map<string, SectionText>();
  #replaced: ReplacedText[] = [];
  #replacedBytes = 0;

  constructor(
    options: {
      current?: readonly SectionText[];
      replaced?: readonly ReplacedText[];
    } = {},
  ) {
    for (const entry of options.current ?? []) {
      this.#current.set(entry.section, entry);
    }
    for (const entry of options.replaced ?? []) {
      this.#keep(entry);
    }
  }

  /** Bytes of all replaced texts. */
  get replacedBytes(): number {
    return this.#replacedBytes;
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

  put(entry: SectionText): void {
    const before = this.#current.get(entry.section);
    if (before !== undefined) {
      this.#keep({ ...before, replacedAtMs: entry.atMs });
    }
    this.#current.set(entry.section, entry);
  }

  /** Forgets replaced texts and removed sections from before a moment. */
  prune(beforeMs: number): void {
    let count = 0;
    while ((this.#replaced[count]?.replacedAtMs ?? Infinity) < beforeMs) {
      this.#replacedBytes -= bytesOf(this.#replaced[count] as ReplacedText);
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
    this.#replacedBytes += bytesOf(entry);
  }
}

function bytesOf(entry: SectionText): number {
  return entry.text === null ? 0 : Buffer.byteLength(entry.text);
}
