/**
 * `key hash`: the salted hash of a team's key, for the document.
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
import { type CommandContext, report } from "../command_context.ts";

/** What `key hash` is asked for. */
export interface KeyHashOptions {
  /** Where the key is read from, `-` for the standard input; none for new. */
  readonly file?: string;
}

/** Prints a hash, with the key when it is a new one; gives the exit code. */
export async function printKeyHash(
  context: CommandContext,
  options: KeyHashOptions,
): Promise<number> {
  const isNew = options.file === undefined;
  const key = isNew
    ? Right(createTeamKey())
    : checkKey(await context.io.read(options.file));
  if (key.isLeft()) {
    return report(context, { result: key, render: String });
  }
  const text = key.unsafeCoerce();
  const keyHash = await hashTeamKey(text);
  const result = Right(isNew ? { key: text, keyHash } : { keyHash });
  return report<{ key?: string; keyHash: string }>(context, {
    result,
    render: ({ key: newKey, keyHash: hash }) =>
      newKey === undefined ? hash : `key  ${newKey}\nhash ${hash}`,
  });
}

function checkKey(content: Result<string>): Result<string> {
  return content.chain((text) => {
    const key = text.trim();
    const isSound = key.length >= KEY_LENGTH_MIN &&
      key.length <= KEY_LENGTH_MAX && /^[!-~]+$/.test(key);
    return isSound ? Right(key) : failure("malformed", {
      detail: `a key has ${KEY_LENGTH_MIN} to ${KEY_LENGTH_MAX} printable ` +
        "characters and no blanks",
    });
  });
}
