/**
 * Checks the text of a document: its errors or, if it is valid, the entries
 * without effect and the limits that contradict each other.
 *
 * @module
 */

import type { SesameError } from "../../../base/sesame_error.ts";
import { checkDocument } from "../check_document.ts";
import type { Document } from "../document.ts";
import { parseDocument } from "../parse_document.ts";
import { findLine } from "../toml_text.ts";
import { findContradictoryLimits } from "./contradictory_limits.ts";
import {
  type DocumentFinding,
  FindingKind,
  type SectionFinding,
} from "./document_finding.ts";
import { findUnmatchedEntries } from "./unmatched_entries.ts";

/**
 * Returns all findings. A text that can't be parsed or has the wrong shape
 * gives only the first error; violated rules are all returned.
 */
export function findDocumentFindings(text: string): DocumentFinding[] {
  return parseDocument(text).caseOf({
    Right: (document) => checkParsed(document, text),
    Left: (error) =>
      error.kind === "invalid"
        ? parseDocument(text, { skipsRules: true })
          .map((document) => checkParsed(document, text))
          .orDefault([errorFinding(error)])
        : [errorFinding(error)],
  });
}

function checkParsed(document: Document, text: string): DocumentFinding[] {
  const locate = (kind: FindingKind) => (found: SectionFinding) =>
    locateFinding(kind, { found, text });
  return [
    ...checkDocument(document).map(locate(FindingKind.error)),
    ...findUnmatchedEntries(document).map(locate(FindingKind.neverMatches)),
    ...findContradictoryLimits(document).map(locate(FindingKind.contradiction)),
  ];
}

function locateFinding(
  kind: FindingKind,
  source: { found: SectionFinding; text: string },
): DocumentFinding {
  const { sectionId, path: fieldPath, reason } = source.found;
  const path = [sectionId.kind, sectionId.name, ...fieldPath];
  const line = findLine(source.text, path);
  return {
    kind,
    path: path.join("."),
    ...(line === undefined ? {} : { line }),
    reason,
  };
}

/** The message of a parse error starts with the line, and then the field. */
function errorFinding(error: SesameError): DocumentFinding {
  const line = error.facts["line"];
  const reason = error.message.replace(/^line \d+: /, "");
  const [, field = "", rest = reason] =
    /^([\w-]+(?:\.[\w-]+)*): (.*)$/s.exec(reason) ?? [];
  const path = [error.location ?? "", error.location ? field : ""]
    .filter((part) => part !== "").join(".");
  return {
    kind: FindingKind.error,
    path,
    ...(typeof line === "number" ? { line } : {}),
    reason: error.location ? rest : reason,
  };
}
