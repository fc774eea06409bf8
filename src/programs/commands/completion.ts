/**
 * Shell completion of the tool's commands.
 *
 * @module
 */

import { failure, type Result } from "../../base/sesame_error.ts";
import { Right } from "purify-ts/Either";

/** The names of all commands. */
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

/** The script for a shell to load, for example with `source <(...)`. */
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
