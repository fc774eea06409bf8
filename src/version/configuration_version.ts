/**
 * One accepted version of the document, as every part sees it.
 *
 * @module
 */

import type { Document } from "./document/document.ts";

/** A configuration version: immutable, swapped whole. */
export interface ConfigurationVersion {
  /** Grows by one with every accepted edit; 0 before the first document. */
  readonly version: number;
  readonly document: Document;
  /** When it was accepted, by the clock of the leader that accepted it. */
  readonly acceptedAtMs: number;
}
