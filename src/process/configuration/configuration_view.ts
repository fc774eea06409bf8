/**
 * Views of the document for callers; only callers with a team's key see key
 * hashes.
 *
 * @module
 */

import type { Document } from "../../version/document/document.ts";
import { renderSection } from "../../version/document/render_document.ts";
import {
  SECTION_KINDS,
  type SectionId,
} from "../../version/document/section_id.ts";
import { joinSectionTexts } from "../../version/document/section_text.ts";
import type { ConfigurationMachine } from "./configuration_machine.ts";

/** Replaces each key hash; an edit that contains it is refused as malformed. */
const HIDDEN_HASH = "hidden";

/** How to show the document. */
export interface ViewOptions {
  /** Whether the reader presented a valid team key. */
  readonly isAuthenticated: boolean;
}

/** The whole document as TOML. */
export function viewDocumentText(
  machine: ConfigurationMachine,
  options: ViewOptions,
): string {
  if (options.isAuthenticated) {
    return machine.documentText();
  }
  const texts = SECTION_KINDS.flatMap((kind) =>
    Object.keys(machine.current.document[kind]).sort().map((name) =>
      viewSectionText(machine, { kind, name }, options) ?? ""
    )
  );
  return joinSectionTexts(texts);
}

/** One section as TOML; undefined when there is none. */
export function viewSectionText(
  machine: ConfigurationMachine,
  sectionId: SectionId,
  options: ViewOptions,
): string | undefined {
  const text = machine.section(sectionId)?.text ?? undefined;
  if (text === undefined || sectionId.kind !== "teams") {
    return text;
  }
  return options.isAuthenticated ? text : renderSection(
    sectionId,
    viewDocument(machine.current.document, options).teams[sectionId.name],
  );
}

/** The whole document as an object. */
export function viewDocument(
  document: Document,
  options: ViewOptions,
): Document {
  if (options.isAuthenticated) {
    return document;
  }
  const teams = Object.entries(document.teams).map(([name, team]) => [
    name,
    { ...team, keyHashes: team.keyHashes.map(() => HIDDEN_HASH) },
  ]);
  return { ...document, teams: Object.fromEntries(teams) };
}
