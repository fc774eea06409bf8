/**
 * Derives changed documents without modifying the original.
 *
 * @module
 */

import { type Document, DOCUMENT_FORMAT_VERSION } from "./document.ts";
import type { Section } from "./parse_document.ts";
import type { SectionId } from "./section_id.ts";

/** The document before any has been accepted. */
export const EMPTY_DOCUMENT: Document = Object.freeze({
  formatVersion: DOCUMENT_FORMAT_VERSION,
  teams: {},
  clientAccounts: {},
  jobClasses: {},
  dataCentres: {},
  services: {},
});

/** The section's content; undefined when there is no such section. */
export function sectionOf(
  document: Document,
  sectionId: SectionId,
): Section | undefined {
  const sections: Record<string, Section> = document[sectionId.kind];
  return Object.hasOwn(sections, sectionId.name)
    ? sections[sectionId.name]
    : undefined;
}

/** A copy with the section replaced, or removed when undefined. */
export function withSection(
  document: Document,
  sectionId: SectionId,
  section: Section | undefined,
): Document {
  const { kind, name } = sectionId;
  const sections: Record<string, Section> = { ...document[kind] };
  if (section === undefined) {
    delete sections[name];
  } else {
    sections[name] = section;
  }
  return { ...document, [kind]: sections };
}
