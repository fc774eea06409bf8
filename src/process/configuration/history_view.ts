/**
 * The history of accepted edits, with the instances on which each is in force.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { Result } from "../../base/sesame_error.ts";
import {
  type HttpAnswer,
  type HttpCallHead,
  jsonAnswer,
} from "../http/http_endpoint.ts";
import type { ConfigurationService } from "./configuration_service.ts";

/** Number of entries when the caller gives no limit. */
const ENTRIES_DEFAULT = 50;

/** Maximum number of entries per answer. */
const ENTRIES_LIMIT = 1_000;

/** Newest entries first, filtered by `?section=` and cut at `?limit=`. */
export function historyAnswer(
  service: ConfigurationService,
  call: HttpCallHead,
): Result<HttpAnswer> {
  const section = call.query.get("section");
  const instances = service.inForce.versionsInForce();
  const entries = service.machine.history
    .filter((entry) => section === null || entry.section === section)
    .slice(-limitOf(call))
    .reverse()
    .map((entry) => ({
      ...entry,
      inForceOn: instances
        .filter((instance) => instance.version >= entry.version)
        .map((instance) => instance.instanceId),
    }));
  const { version } = service.current();
  return Right(jsonAnswer(200, { version, instances, entries }));
}

function limitOf(call: HttpCallHead): number {
  const limit = Number(call.query.get("limit") ?? ENTRIES_DEFAULT);
  return Number.isInteger(limit) && limit > 0
    ? Math.min(limit, ENTRIES_LIMIT)
    : ENTRIES_DEFAULT;
}
