/**
 * Completion of the tool's commands in a shell.
 *
 * @module
 */

import { failure, type Result } from "../../base/sesame_error.ts";
import { Right } from "purify-ts/Either";

/** Every command, for completion. */
export const COMMAND_NAMES = [
  "submit",
  "jobs",
  "job",
  "cancel",
  "workers",
  "request",
  "backends",
  "config",
  "datacentre",
  "key",
  "member",
  "timeline",
  "status",
  "explain",
  "completion",
] as const;

/** The script that a shell is to read, such as by `source <(...)`. */
export function completionScript(shell: string): Result<string> {
  const words = COMMAND_NAMES.join(" ");
  switch (shell) {
    case "bash":
      return Right(`complete -W "${words}" sesamethread`);
    case "zsh":
      return Right(`compdef '_arguments "1:command:(${words})"' sesamethread`);
    case "fish":
      return Right(`complete -c sesamethread -f -a "${words}"`);
    default:
      return failure("invalid", {
        detail: `${shell}: expected bash, zsh or fish`,
      });
  }
}
