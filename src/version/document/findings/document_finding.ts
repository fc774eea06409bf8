/**
 * What a check of a document reports.
 *
 * @module
 */

import type { DocumentFault } from "../check_document.ts";

/** Kinds of findings. */
export const FindingKind = {
  /** The document would be refused. */
  error: "error",
  /** An entry that can never have an effect. */
  neverMatches: "neverMatches",
  /** Fields whose values contradict each other. */
  contradiction: "contradiction",
} as const;

export type FindingKind = typeof FindingKind[keyof typeof FindingKind];

/** One finding: the path in the document, the line if found, the reason. */
export interface DocumentFinding {
  readonly kind: FindingKind;
  /** Such as `services.quote.classes.0.queueLimit`. */
  readonly path: string;
  readonly line?: number;
  readonly reason: string;
}

/** A place in a section and what is wrong there. */
export type SectionFinding = DocumentFault;
