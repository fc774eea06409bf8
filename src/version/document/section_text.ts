/**
 * Stores sections as the texts their owners wrote, comments included, and joins
 * them into the whole document.
 *
 * @module
 */

import { isDeepStrictEqual } from "node:util";
import { DOCUMENT_FORMAT_VERSION } from "./document.ts";
import type { Section } from "./parse_document.ts";
import { renderFormatVersion, renderSection } from "./render_document.ts";
import type { SectionId } from "./section_id.ts";
import { parseToml } from "./toml_text.ts";

/**
 * The text to store for a section: as written if it means the same between any
 * other sections, otherwise the canonical form.
 */
export function storedSectionText(
  sectionId: SectionId,
  source: { text: string; section: Section },
): string {
  const text = source.text.replaceAll("\r\n", "\n").trim() + "\n";
  return isPositionIndependent(sectionId, text)
    ? text
    : renderSection(sectionId, source.section);
}

/** A name that no section has, since names can't start with an underscore. */
const NEIGHBOUR = "_neighbour";

/** Whether the text parses to the same section between other tables. */
function isPositionIndependent(sectionId: SectionId, text: string): boolean {
  const { kind, name } = sectionId;
  const before = `[${kind}.${NEIGHBOUR}]\n`;
  const after = `[${kind}]\n`;
  return parseToml(before + text + after).caseOf({
    Left: () => false,
    Right: (table) => {
      const neighbour = tableAt(table, kind, NEIGHBOUR);
      const alone = parseToml(text).orDefault({});
      return isDeepStrictEqual({ ...neighbour }, {}) &&
        isDeepStrictEqual(
          tableAt(table, kind, name),
          tableAt(alone, kind, name),
        );
    },
  });
}

function tableAt(table: unknown, kind: string, name: string): object {
  const sections = (table as Record<string, Record<string, object>>)[kind];
  return sections?.[name] ?? {};
}

/** Joins the sections' texts, already in document order, into a document. */
export function joinSectionTexts(texts: readonly string[]): string {
  return [renderFormatVersion(DOCUMENT_FORMAT_VERSION), ...texts].join("\n");
}
