/**
 * The commands of the configuration's replicated log, and the outcomes of
 * applying them.
 *
 * @module
 */

import type { ErrorKind } from "../../base/error_kind.ts";
import type { DataCentreId, TeamId } from "../../base/identity.ts";
import type { SectionId } from "../../version/document/section_id.ts";

/** The change that an edit makes to its section. */
export type SectionChange =
  | { readonly kind: "replace"; readonly text: string }
  | { readonly kind: "remove" };

/** Installs the initial document; ignored when there is one already. */
export interface BootstrapCommand {
  readonly kind: "bootstrap";
  readonly text: string;
  readonly atMs: number;
}

/** Changes one section on behalf of a team. */
export interface EditCommand {
  readonly kind: "edit";
  /** Chosen by the editor; resent copies of an edit carry the same ID. */
  readonly editId: string;
  readonly team: TeamId;
  /** The team's key hash that the editor's key matched. */
  readonly keyHash: string;
  readonly sectionId: SectionId;
  /** The section version that the edit is based on; 0 for a new section. */
  readonly baseVersion: number;
  readonly change: SectionChange;
  readonly atMs: number;
}

/** Records that the removal of a data centre by `version` has taken effect. */
export interface ConfirmRemovalCommand {
  readonly kind: "confirmRemoval";
  readonly dataCentre: DataCentreId;
  readonly version: number;
  readonly atMs: number;
}

/** A command of the configuration's log. */
export type ConfigurationCommand =
  | BootstrapCommand
  | EditCommand
  | ConfirmRemovalCommand;

/** The change is part of the document since `version`. */
export interface AcceptedOutcome {
  readonly kind: "accepted";
  readonly version: number;
  readonly atMs: number;
  /** The changed data centre if its status is now `out`; otherwise null. */
  readonly removedDataCentre: DataCentreId | null;
}

/** The section has changed since the edit's base version. */
export interface ConflictOutcome {
  readonly kind: "conflict";
  /** The version that last changed the section; 0 if none is known. */
  readonly currentVersion: number;
  /** The section's text; null if there is no section. */
  readonly currentText: string | null;
}

/** The edit is not allowed or not valid; nothing was changed. */
export interface RefusedOutcome {
  readonly kind: "refused";
  readonly error: ErrorKind;
  readonly detail: string;
  readonly location: string;
  /** The line in the edit's text, from 1; null when there is none. */
  readonly line: number | null;
}

/** The command no longer applied and had no effect. */
export interface IgnoredOutcome {
  readonly kind: "ignored";
}

/** The outcome of an edit. */
export type EditOutcome = AcceptedOutcome | ConflictOutcome | RefusedOutcome;

/** The outcome of applying a command. */
export type ConfigurationOutcome = EditOutcome | IgnoredOutcome;
