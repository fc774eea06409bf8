/**
 * The state of an accepted edit, as reported to its editor.
 *
 * @module
 */

import type { DataCentreId } from "../../base/identity.ts";
import type { EditOutcome } from "./configuration_command.ts";
import { type RemovalLedger, RemovalState } from "./removal_ledger.ts";

/** The edit is part of the document and has taken effect. */
export interface EditAccepted {
  readonly state: "accepted";
  readonly version: number;
}

/**
 * The edit is part of the document, but the removal of its data centre may not
 * have taken effect yet.
 */
export interface EditPending {
  readonly state: "pending";
  readonly version: number;
  readonly dataCentre: DataCentreId;
  /**
   * When the removal takes effect at the latest, by this instance's clock;
   * null while this instance's copy is too old to know.
   */
  readonly holdsByMs: number | null;
}

/**
 * The data centre has since been put back in, dropped from the document, or
 * taken out anew by a later version.
 */
export interface EditSuperseded {
  readonly state: "superseded";
  readonly version: number;
  readonly dataCentre: DataCentreId;
}

/** The state of an accepted edit. */
export type EditState = EditAccepted | EditPending | EditSuperseded;

/** Derives the current state of an accepted edit. */
export function editStateOf(
  outcome: Extract<EditOutcome, { kind: "accepted" }>,
  options: {
    readonly removals: RemovalLedger;
    readonly holdsByMs: (dataCentre: DataCentreId) => number | null;
  },
): EditState {
  const { version, removedDataCentre: dataCentre } = outcome;
  if (dataCentre === null) {
    return { state: "accepted", version };
  }
  const removal = options.removals.removal(dataCentre);
  if (removal === undefined || removal.version > version) {
    return { state: "superseded", version, dataCentre };
  }
  if (removal.state === RemovalState.accepted) {
    return { state: "accepted", version };
  }
  const holdsByMs = options.holdsByMs(dataCentre);
  return { state: "pending", version, dataCentre, holdsByMs };
}
