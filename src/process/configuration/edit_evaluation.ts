/**
 * What an edit comes to against the current document, without changing it.
 *
 * @module
 */

import type { SesameError } from "../../base/sesame_error.ts";
import { checkDocument } from "../../version/document/check_document.ts";
import type { Document } from "../../version/document/document.ts";
import {
  sectionOf,
  withSection,
} from "../../version/document/document_change.ts";
import {
  parseSection,
  refuseFault,
  type Section,
} from "../../version/document/parse_document.ts";
import {
  formatSectionId,
  type SectionId,
} from "../../version/document/section_id.ts";
import { keptSectionText } from "../../version/document/section_text.ts";
import type {
  ConflictOutcome,
  EditCommand,
  RefusedOutcome,
} from "./configuration_command.ts";
import type { SectionStore } from "./section_store.ts";
import { type Removal, RemovalState } from "./removal_ledger.ts";

/** What an edit is judged against. */
export interface EditContext {
  readonly document: Document;
  readonly sections: SectionStore;
  readonly removals: readonly Removal[];
  /** The most bytes of all sections' texts. */
  readonly documentBytesLimit: number;
}

/** An edit that may be accepted, with all that it changes. */
export interface AcceptableEdit {
  readonly kind: "acceptable";
  readonly document: Document;
  /** The section's text to keep; null when it is removed. */
  readonly text: string | null;
}

/** How an edit is judged. */
export type EditEvaluation = AcceptableEdit | ConflictOutcome | RefusedOutcome;

/** Judges an edit; the same on every member. */
export function evaluateEdit(
  context: EditContext,
  edit: EditCommand,
): EditEvaluation {
  return findForbidden(context, edit) ?? findConflict(context, edit) ??
    evaluateChange(context, edit);
}

/** Whether the key that the editor used is still one of its team. */
export function isKeyCurrent(document: Document, edit: EditCommand): boolean {
  const { teams } = document;
  return Object.hasOwn(teams, edit.team) &&
    teams[edit.team]?.keyHashes.includes(edit.keyHash) === true;
}

function findForbidden(
  context: EditContext,
  edit: EditCommand,
): RefusedOutcome | undefined {
  const section = sectionOf(context.document, edit.sectionId);
  if (section === undefined || section.owner === edit.team) {
    return undefined;
  }
  return refuse(edit.sectionId, {
    error: "forbidden",
    detail: `the section belongs to the team ${section.owner}`,
  });
}

function findConflict(
  context: EditContext,
  edit: EditCommand,
): ConflictOutcome | undefined {
  const section = formatSectionId(edit.sectionId);
  const currentVersion = context.sections.versionOf(section);
  if (currentVersion === edit.baseVersion) {
    return undefined;
  }
  const currentText = context.sections.textAt(section, currentVersion);
  return { kind: "conflict", currentVersion, currentText };
}

function evaluateChange(
  context: EditContext,
  edit: EditCommand,
): AcceptableEdit | RefusedOutcome {
  const { change, sectionId } = edit;
  switch (change.kind) {
    case "remove":
      return evaluateRemoval(context, edit);
    case "replace":
      return parseSection(sectionId, change.text).caseOf({
        Left: (error) => refusedBy(error, sectionId),
        Right: (section) =>
          evaluateReplacement(context, edit, { section, text: change.text }),
      });
  }
}

function evaluateReplacement(
  context: EditContext,
  edit: EditCommand,
  source: { readonly section: Section; readonly text: string },
): AcceptableEdit | RefusedOutcome {
  const { sectionId } = edit;
  const isNew = sectionOf(context.document, sectionId) === undefined;
  if (isNew && source.section.owner !== edit.team) {
    return refuse(sectionId, {
      error: "forbidden",
      detail: `a new section must belong to the editing team, ${edit.team}`,
    });
  }
  const document = withSection(context.document, sectionId, source.section);
  const text = keptSectionText(sectionId, source);
  if (grownBytes(context, edit, text) > context.documentBytesLimit) {
    return refuse(sectionId, {
      error: "tooLarge",
      detail: `a document has at most ${context.documentBytesLimit} bytes`,
    });
  }
  return accept(context, { document, text, edit, source: source.text });
}

/** Bytes of all texts with the section's new one. */
function grownBytes(
  context: EditContext,
  edit: EditCommand,
  text: string,
): number {
  const { sections } = context;
  const before = sections.current(formatSectionId(edit.sectionId))?.text ?? "";
  return sections.currentBytes - Buffer.byteLength(before) +
    Buffer.byteLength(text);
}

function evaluateRemoval(
  context: EditContext,
  edit: EditCommand,
): AcceptableEdit | RefusedOutcome {
  const { sectionId } = edit;
  if (sectionOf(context.document, sectionId) === undefined) {
    return refuse(sectionId, {
      error: "notFound",
      detail: "there is no such section",
    });
  }
  if (sectionId.kind === "dataCentres") {
    const removal = context.removals.find((entry) =>
      entry.dataCentre === sectionId.name
    );
    if (removal?.state !== RemovalState.accepted) {
      return refuse(sectionId, {
        error: "invalid",
        detail: "the data centre must be out, and its removal accepted, " +
          "before its section is removed",
      });
    }
  }
  const document = withSection(context.document, sectionId, undefined);
  return accept(context, {
    document,
    text: null,
    edit,
    source: undefined,
  });
}

/** Accepts when the document as a whole is sound with the change. */
function accept(context: EditContext, candidate: {
  readonly document: Document;
  readonly text: string | null;
  readonly edit: EditCommand;
  readonly source: string | undefined;
}): AcceptableEdit | RefusedOutcome {
  const { document, text, edit, source } = candidate;
  const fault = checkDocument(document, { before: context.document })[0];
  if (fault === undefined) {
    return { kind: "acceptable", document, text };
  }
  const { kind, name } = edit.sectionId;
  const isHere = fault.sectionId.kind === kind && fault.sectionId.name === name;
  return refuseFault<never>(fault, isHere ? source : undefined).caseOf({
    Left: (error) => refusedBy(error, edit.sectionId),
    Right: (never) => never,
  });
}

/** A refusal out of an error; `about` is the section, unless it says more. */
export function refusedBy(
  error: SesameError,
  about: SectionId | undefined,
): RefusedOutcome {
  const line = error.facts["line"];
  const section = about === undefined ? "" : formatSectionId(about);
  return {
    kind: "refused",
    error: error.kind,
    detail: error.message,
    location: error.location ?? section,
    line: typeof line === "number" ? line : null,
  };
}

/** A refusal for a reason about the section as a whole. */
export function refuse(
  sectionId: SectionId,
  reason: Pick<RefusedOutcome, "error" | "detail">,
): RefusedOutcome {
  const location = formatSectionId(sectionId);
  return { kind: "refused", ...reason, location, line: null };
}
