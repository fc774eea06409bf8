/**
 * Where an edit stands, as its editor is told.
 *
 * @module
 */

import type { DataCentreId } from "../../base/identity.ts";
import type { EditOutcome } from "./configuration_command.ts";
import { type RemovalLedger, RemovalState } from "./removal_ledger.ts";

/** The edit is part of the document, and all that it says holds. */
export interface EditAccepted {
  readonly state: "accepted";
  readonly version: number;
}

/** The edit is part of the document, but its removal may not hold yet. */
export interface EditPending {
  readonly state: "pending";
  readonly version: number;
  readonly dataCentre: DataCentreId;
  /**
   * The latest moment at which it holds, by this instance's clock; null while
   * this instance's copy is too old to tell.
   */
  readonly holdsByMs: number | null;
}

/** The edit was part of the document, but its removal was taken back. */
export interface EditSuperseded {
  readonly state: "superseded";
  readonly version: number;
  readonly dataCentre: DataCentreId;
}

/** Where an accepted edit stands. */
export type EditState = EditAccepted | EditPending | EditSuperseded;

/** Where the edit of an accepted outcome stands now. */
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
