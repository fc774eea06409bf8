/**
 * Where an edit stands, for people.
 *
 * @module
 */

import type { EditView } from "./section_client.ts";

/** One sentence about an edit. */
export function renderEditView(view: EditView): string {
  switch (view.state) {
    case "accepted":
      return `accepted as version ${view.version}`;
    case "pending":
      return `version ${view.version} is durable; ${view.dataCentre} may ` +
        `start tasks until ${timeOf(view.holdsByMs)} at the latest`;
    case "superseded":
      return `version ${view.version} was accepted, and ${view.dataCentre} ` +
        `has been taken back since`;
    case "wouldBeAccepted":
      return "would be accepted; nothing was changed";
  }
}

function timeOf(atMs: number | null | undefined): string {
  return typeof atMs === "number"
    ? new Date(atMs).toISOString()
    : "a time that isn't known yet";
}
