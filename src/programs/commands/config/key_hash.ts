/**
 * `key hash`: prints the salted hash of a team's key, for the document.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../../base/sesame_error.ts";
import {
  createTeamKey,
  hashTeamKey,
  KEY_LENGTH_MAX,
  KEY_LENGTH_MIN,
} from "../../../version/document/team_key.ts";
import { type CommandContext, printResult } from "../command_context.ts";

/** Options of `key hash`. */
export interface KeyHashOptions {
  /** File with the key, `-` for standard input; a new key if absent. */
  readonly file?: string;
}

/** Prints the hash, and the key if it is new; returns the exit code. */
export async function printKeyHash(
  context: CommandContext,
  options: KeyHashOptions,
): Promise<number> {
  const isNew = options.file === undefined;
  const key = isNew
    ? Right(createTeamKey())
    : checkKey(await context.io.read(options.file));
  if (key.isLeft()) {
    return printResult(context, { result: key, render: String });
  }
  const plainKey = key.unsafeCoerce();
  const keyHash = await hashTeamKey(plainKey);
  const result = Right(isNew ? { key: plainKey, keyHash } : { keyHash });
  return printResult<{ key?: string; keyHash: string }>(context, {
    result,
    render: ({ key: newKey, keyHash: hash }) =>
      newKey === undefined ? hash : `key  ${newKey}\nhash ${hash}`,
  });
}

function checkKey(content: Result<string>): Result<string> {
  return content.chain((text) => {
    const key = text.trim();
    const isValid = key.length >= KEY_LENGTH_MIN &&
      key.length <= KEY_LENGTH_MAX && /^[!-~]+$/.test(key);
    return isValid ? Right(key) : failure("malformed", {
      detail:
        `a key must have ${KEY_LENGTH_MIN} to ${KEY_LENGTH_MAX} printable ` +
        "ASCII characters and no spaces",
    });
  });
}
