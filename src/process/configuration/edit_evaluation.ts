/**
 * Evaluates an edit against the current document, without changing it.
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
import { storedSectionText } from "../../version/document/section_text.ts";
import type {
  ConflictOutcome,
  EditCommand,
  RefusedOutcome,
} from "./configuration_command.ts";
import type { SectionStore } from "./section_store.ts";
import { type Removal, RemovalState } from "./removal_ledger.ts";

/** The state that an edit is evaluated against. */
export interface EditContext {
  readonly document: Document;
  readonly sections: SectionStore;
  readonly removals: readonly Removal[];
  /** Maximum bytes of all sections' texts together. */
  readonly documentBytesLimit: number;
}

/** An edit that can be accepted, and the document with it applied. */
export interface AcceptableEdit {
  readonly kind: "acceptable";
  readonly document: Document;
  /** The section's text to store; null when the edit removes it. */
  readonly text: string | null;
}

/** The result of evaluating an edit. */
export type EditEvaluation = AcceptableEdit | ConflictOutcome | RefusedOutcome;

/** Evaluates an edit; deterministic, since every member does it. */
export function evaluateEdit(
  context: EditContext,
  edit: EditCommand,
): EditEvaluation {
  return findForbidden(context, edit) ?? findConflict(context, edit) ??
    evaluateChange(context, edit);
}

/** Whether the editor's key hash is still one of its team's. */
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
        Left: (error) => refusalFromError(error, sectionId),
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
  const text = storedSectionText(sectionId, source);
  if (bytesAfterEdit(context, edit, text) > context.documentBytesLimit) {
    return refuse(sectionId, {
      error: "tooLarge",
      detail: `a document has at most ${context.documentBytesLimit} bytes`,
    });
  }
  return acceptIfValid(context, { document, text, edit, source: source.text });
}

/** Total bytes of all sections' texts if the section had this text. */
function bytesAfterEdit(
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
  return acceptIfValid(context, {
    document,
    text: null,
    edit,
    source: undefined,
  });
}

/** Accepts the change if the whole document is valid with it. */
function acceptIfValid(context: EditContext, candidate: {
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
  const isInEditedSection = fault.sectionId.kind === kind &&
    fault.sectionId.name === name;
  return refuseFault<never>(fault, isInEditedSection ? source : undefined)
    .caseOf({
      Left: (error) => refusalFromError(error, edit.sectionId),
      Right: (never) => never,
    });
}

/** Turns an error into a refusal; the section is its default location. */
export function refusalFromError(
  error: SesameError,
  sectionId: SectionId | undefined,
): RefusedOutcome {
  const line = error.facts["line"];
  const section = sectionId === undefined ? "" : formatSectionId(sectionId);
  return {
    kind: "refused",
    error: error.kind,
    detail: error.message,
    location: error.location ?? section,
    line: typeof line === "number" ? line : null,
  };
}

/** A refusal that concerns the section as a whole. */
export function refuse(
  sectionId: SectionId,
  reason: Pick<RefusedOutcome, "error" | "detail">,
): RefusedOutcome {
  const location = formatSectionId(sectionId);
  return { kind: "refused", ...reason, location, line: null };
}
