/**
 * Chooses the data centre whose ledger records a request.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { DataCentreId, RequestId } from "../../base/identity.ts";

/** Separates the data centre's name from the rest of a request's ID. */
export const HOME_SEPARATOR = ":";

/**
 * Returns the data centre named before the first colon of the ID, or else the
 * one that rendezvous hashing selects. All instances with the same document
 * agree on it.
 */
export function requestHome(
  requestId: RequestId,
  dataCentres: readonly DataCentreId[],
): DataCentreId | undefined {
  const separatorAt = requestId.indexOf(HOME_SEPARATOR);
  const prefix = requestId.slice(0, Math.max(0, separatorAt));
  if (dataCentres.includes(prefix)) {
    return prefix;
  }
  let home: DataCentreId | undefined;
  let highestWeight = "";
  for (const dataCentre of dataCentres) {
    const weight = weightOf(requestId, dataCentre);
    if (home === undefined || weight > highestWeight) {
      home = dataCentre;
      highestWeight = weight;
    }
  }
  return home;
}

function weightOf(requestId: RequestId, dataCentre: DataCentreId): string {
  return createHash("sha256").update(`${dataCentre}\n${requestId}`)
    .digest("hex");
}
