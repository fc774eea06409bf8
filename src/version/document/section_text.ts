/**
 * How the sections' own texts, comments and all, make up the whole document.
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
 * The text to keep for a section: as it was written, if it can stand anywhere
 * between others; in the canonical form if not.
 */
export function keptSectionText(
  sectionId: SectionId,
  source: { text: string; section: Section },
): string {
  const text = source.text.replaceAll("\r\n", "\n").trim() + "\n";
  return canStandBetween(sectionId, text)
    ? text
    : renderSection(sectionId, source.section);
}

/** A name that no section has, since names begin with no underscore. */
const NEIGHBOUR = "_neighbour";

/** Whether tables before and after the text change nothing in it. */
function canStandBetween(sectionId: SectionId, text: string): boolean {
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

/** The whole document out of its sections' texts, sorted by their ids. */
export function joinSectionTexts(texts: readonly string[]): string {
  return [renderFormatVersion(DOCUMENT_FORMAT_VERSION), ...texts].join("\n");
}
