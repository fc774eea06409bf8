/**
 * The commands of the configuration's replicated log, and what applying each
 * comes to.
 *
 * @module
 */

import type { ErrorKind } from "../../base/error_kind.ts";
import type { DataCentreId, TeamId } from "../../base/identity.ts";
import type { SectionId } from "../../version/document/section_id.ts";

/** What an edit does to its section. */
export type SectionChange =
  | { readonly kind: "replace"; readonly text: string }
  | { readonly kind: "remove" };

/** The first document; it has no effect when there is one already. */
export interface BootstrapCommand {
  readonly kind: "bootstrap";
  readonly text: string;
  readonly atMs: number;
}

/** One team's change of one section. */
export interface EditCommand {
  readonly kind: "edit";
  /** Chosen by the editor; a resent edit carries the same. */
  readonly editId: string;
  readonly team: TeamId;
  /** The hash in the document that the editor's key matched. */
  readonly keyHash: string;
  readonly sectionId: SectionId;
  /** The section's version that the edit was made from; 0 for none. */
  readonly baseVersion: number;
  readonly change: SectionChange;
  readonly atMs: number;
}

/** The removal of a data centre, made by `version`, holds from now on. */
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

/** The change is part of the document from `version` on. */
export interface AcceptedOutcome {
  readonly kind: "accepted";
  readonly version: number;
  readonly atMs: number;
  /** Set when the change takes this data centre out, or leaves it out. */
  readonly removedDataCentre: DataCentreId | null;
}

/** Another change of the section came first. */
export interface ConflictOutcome {
  readonly kind: "conflict";
  /** The section's version now; its text is null when it was removed. */
  readonly currentVersion: number;
  readonly currentText: string | null;
}

/** Nothing was changed, for a reason in the edit itself. */
export interface RefusedOutcome {
  readonly kind: "refused";
  readonly error: ErrorKind;
  readonly detail: string;
  readonly location: string;
  /** The line in the edit's text, from 1; null when there is none. */
  readonly line: number | null;
}

/** The command came too late to have any effect. */
export interface IgnoredOutcome {
  readonly kind: "ignored";
}

/** How an edit ends. */
export type EditOutcome = AcceptedOutcome | ConflictOutcome | RefusedOutcome;

/** What applying a command comes to. */
export type ConfigurationOutcome = EditOutcome | IgnoredOutcome;
