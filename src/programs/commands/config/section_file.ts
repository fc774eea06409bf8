/**
 * A section's text as a file for an editor: its first line says which version
 * it is, so that an edit made from it can't undo a later one unseen.
 *
 * @module
 */

import {
  formatSectionId,
  type SectionId,
} from "../../../version/document/section_id.ts";

const VERSION_LINE = /^# (\S+) at version (\d+)\r?\n/;

/** A section's text, with a blank line in place of its version line. */
export interface SectionFile {
  /** Its lines have the numbers that they have in the file. */
  readonly text: string;
  /** The version in the first line; undefined when there is no such line. */
  readonly baseVersion: number | undefined;
}

/** The text with its version line. */
export function writeSectionFile(
  sectionId: SectionId,
  source: { readonly text: string; readonly version: number },
): string {
  return `# ${formatSectionId(sectionId)} at version ${source.version}\n` +
    source.text;
}

/** Reads the version line; one of another section counts as a comment. */
export function readSectionFile(
  sectionId: SectionId,
  content: string,
): SectionFile {
  const match = VERSION_LINE.exec(content);
  if (match === null || match[1] !== formatSectionId(sectionId)) {
    return { text: content, baseVersion: undefined };
  }
  const text = "\n" + content.slice(match[0].length);
  return { text, baseVersion: Number(match[2]) };
}
