/**
 * The ID of one section of the document: its kind and its name.
 *
 * @module
 */

import { isIdentity } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import { Right } from "purify-ts/Either";
import { SECTION_SCHEMAS, type SectionKind } from "./document.ts";

/** A kind of section, such as `services`, and a name unique in that kind. */
export interface SectionId {
  readonly kind: SectionKind;
  readonly name: string;
}

/** All kinds of sections, in rendering order. */
export const SECTION_KINDS = Object.keys(SECTION_SCHEMAS) as SectionKind[];

/** Whether `text` is a kind of section. */
export function isSectionKind(text: string): text is SectionKind {
  return Object.hasOwn(SECTION_SCHEMAS, text);
}

/** Formats the ID as `kind.name`. */
export function formatSectionId(sectionId: SectionId): string {
  return `${sectionId.kind}.${sectionId.name}`;
}

/** Parses `kind.name`; the name may contain dots. */
export function parseSectionId(text: string): Result<SectionId> {
  const dot = text.indexOf(".");
  const kind = dot < 0 ? text : text.slice(0, dot);
  const name = dot < 0 ? "" : text.slice(dot + 1);
  if (!isSectionKind(kind)) {
    return failure("malformed", {
      location: text,
      detail: `no such kind of section; expected one of ${
        SECTION_KINDS.join(", ")
      }`,
    });
  }
  if (!isIdentity(name)) {
    return failure("malformed", {
      location: text,
      detail: "a section is named as kind.name, such as services.quotes; " +
        "names have letters, digits and . _ : - , at most 128",
    });
  }
  return Right({ kind, name });
}
