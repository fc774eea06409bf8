/**
 * Renders the state of an edit as text.
 *
 * @module
 */

import type { EditView } from "./section_client.ts";

/** Describes the state of an edit in one sentence. */
export function renderEditView(view: EditView): string {
  switch (view.state) {
    case "accepted":
      return `accepted as version ${view.version}`;
    case "pending":
      return `version ${view.version} is durable; ${view.dataCentre} may ` +
        `start tasks until ${formatTime(view.holdsByMs)} at the latest`;
    case "superseded":
      return `version ${view.version} was accepted, but ${view.dataCentre} ` +
        `has been changed again since`;
    case "wouldBeAccepted":
      return "would be accepted; nothing was changed";
  }
}

function formatTime(atMs: number | null | undefined): string {
  return typeof atMs === "number"
    ? new Date(atMs).toISOString()
    : "a time not yet known";
}
