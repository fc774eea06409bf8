/**
 * One accepted version of the document.
 *
 * @module
 */

import type { Document } from "./document/document.ts";

/** An immutable version of the configuration; an edit makes a new one. */
export interface ConfigurationVersion {
  /** Grows by one with every accepted edit; 0 before the initial document. */
  readonly version: number;
  readonly document: Document;
  /** When it was proposed, by the clock of the instance that proposed it. */
  readonly acceptedAtMs: number;
}
