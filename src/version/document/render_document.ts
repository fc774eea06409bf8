/**
 * Renders sections and documents as TOML in a canonical form.
 *
 * @module
 */

import { stringify } from "smol-toml";
import type { Document } from "./document.ts";
import { SECTION_KINDS, type SectionId } from "./section_id.ts";

/** Renders a section as the table `[kind.name]`. */
export function renderSection(sectionId: SectionId, section: unknown): string {
  const { kind, name } = sectionId;
  return stringify({ [kind]: { [name]: section } }).trim() + "\n";
}

/** Renders the document: kinds in a fixed order, names sorted. */
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

/** Renders the first line of a document. */
export function renderFormatVersion(formatVersion: number): string {
  return `formatVersion = ${formatVersion}\n`;
}
