/**
 * Which data centre's ledger remembers a request.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { DataCentreId, RequestId } from "../../base/identity.ts";

/** Ends the name of a data centre at the start of a request's identity. */
export const HOME_SEPARATOR = ":";

/**
 * The data centre named before the identity's first colon, or else the one
 * that rendezvous hashing chooses. All instances with the same document agree.
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
  let highest = "";
  for (const dataCentre of dataCentres) {
    const weight = weigh(requestId, dataCentre);
    if (home === undefined || weight > highest) {
      home = dataCentre;
      highest = weight;
    }
  }
  return home;
}

function weigh(requestId: RequestId, dataCentre: DataCentreId): string {
  return createHash("sha256").update(`${dataCentre}\n${requestId}`)
    .digest("hex");
}
