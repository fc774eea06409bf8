/**
 * The team key that the command-line tool is given.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../../base/sesame_error.ts";

/** The environment variable that holds `team:key`. */
export const KEY_VARIABLE = "SESAMETHREAD_KEY";

/** The header for a key given as `team:key`; no header without a key. */
export function authorizationHeader(
  key: string | undefined,
): Record<string, string> {
  return key === undefined ? {} : { authorization: `Bearer ${key}` };
}

/** Fails with `unauthenticated` if there is no key of the form `team:key`. */
export function requireKey(key: string | undefined): Result<string> {
  return key !== undefined && /^[^\s:]+:\S+$/.test(key)
    ? Right(key)
    : failure("unauthenticated", {
      detail:
        `a key is required, as team:key, with --key or in ${KEY_VARIABLE}`,
    });
}
