/**
 * A team's key as given to the tool.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../../base/sesame_error.ts";

/** The environment variable that holds `team:key`. */
export const KEY_VARIABLE = "SESAMETHREAD_KEY";

/** The header for a key given as `team:key`; none for an undefined key. */
export function authorizationOf(
  key: string | undefined,
): Record<string, string> {
  return key === undefined ? {} : { authorization: `Bearer ${key}` };
}

/** Fails when a command that needs a key got none. */
export function requireKey(key: string | undefined): Result<string> {
  return key !== undefined && /^[^\s:]+:\S+$/.test(key)
    ? Right(key)
    : failure("unauthenticated", {
      detail: `a key is needed, as team:key, in ${KEY_VARIABLE}`,
    });
}
