/**
 * Rebuilds the document from the section texts of a snapshot.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { Result } from "../../base/sesame_error.ts";
import {
  type Document,
  DOCUMENT_FORMAT_VERSION,
} from "../../version/document/document.ts";
import { EMPTY_DOCUMENT } from "../../version/document/document_change.ts";
import { parseDocument } from "../../version/document/parse_document.ts";
import { migrateDocument } from "../../version/document/document_migration.ts";
import {
  renderFormatVersion,
  renderSection,
} from "../../version/document/render_document.ts";
import { parseToml } from "../../version/document/toml_text.ts";
import {
  formatSectionId,
  SECTION_KINDS,
} from "../../version/document/section_id.ts";
import type { ConfigurationSnapshot } from "./configuration_snapshot.ts";
import type { SectionText } from "./section_store.ts";

/**
 * Parses the document of a snapshot. Size and rules are not checked: the
 * document was accepted before, perhaps under older rules.
 */
export function documentOf(state: ConfigurationSnapshot): Result<Document> {
  if (state.version === 0) {
    return Right(EMPTY_DOCUMENT);
  }
  return parseDocument(textOf(state), { skipsRules: true });
}

function textOf(state: ConfigurationSnapshot): string {
  const texts = state.sections.flatMap((entry) => entry.text ?? []);
  return renderFormatVersion(state.documentFormatVersion) + texts.join("\n");
}

/** The snapshot's sections; those in an older document format are migrated. */
export function sectionsOf(state: ConfigurationSnapshot): SectionText[] {
  if (state.documentFormatVersion === DOCUMENT_FORMAT_VERSION) {
    return state.sections;
  }
  const texts = new Map(
    canonicalTexts(textOf(state)).map((entry) => [entry.section, entry.text]),
  );
  return state.sections.map((entry) => ({
    ...entry,
    text: texts.get(entry.section) ?? null,
  }));
}

/**
 * Every section of an accepted document in canonical form, without the
 * defaults of fields that the text leaves out.
 */
export function canonicalTexts(
  text: string,
): { section: string; text: string }[] {
  const table = parseToml(text).chain((parsed) => migrateDocument(parsed))
    .orDefault({});
  return SECTION_KINDS.flatMap((kind) =>
    Object.entries(table[kind] ?? {}).map(([name, content]) => ({
      section: formatSectionId({ kind, name }),
      text: renderSection({ kind, name }, content),
    }))
  );
}
