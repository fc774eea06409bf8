/**
 * A section's text as a file to edit. Its first line holds the section's
 * version, so that an edit based on it cannot silently undo a later edit.
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
  /** Its line numbers are those of the file. */
  readonly text: string;
  /** The version in the first line; undefined if there is no version line. */
  readonly baseVersion: number | undefined;
}

/** The text with a version line in front. */
export function writeSectionFile(
  sectionId: SectionId,
  source: { readonly text: string; readonly version: number },
): string {
  return `# ${formatSectionId(sectionId)} at version ${source.version}\n` +
    source.text;
}

/** Reads the version line; that of another section is taken as a comment. */
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
