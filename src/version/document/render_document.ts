/**
 * Sections and documents back to TOML, always in the same form.
 *
 * @module
 */

import { stringify } from "smol-toml";
import type { Document } from "./document.ts";
import { SECTION_KINDS, type SectionId } from "./section_id.ts";

/** One section as TOML: its table with `[kind.name]` at the top. */
export function renderSection(sectionId: SectionId, section: unknown): string {
  const { kind, name } = sectionId;
  return stringify({ [kind]: { [name]: section } }).trim() + "\n";
}

/** The whole document as TOML: kinds in a fixed order, names sorted. */
export function renderDocument(document: Document): string {
  const parts = [renderFormatVersion(document.formatVersion)];
  for (const kind of SECTION_KINDS) {
    const sections: Record<string, unknown> = document[kind];
    for (const name of Object.keys(sections).sort()) {
      parts.push(renderSection({ kind, name }, sections[name]));
    }
  }
  return parts.join("\n");
}

/** The line that opens every document. */
export function renderFormatVersion(formatVersion: number): string {
  return `formatVersion = ${formatVersion}\n`;
}
