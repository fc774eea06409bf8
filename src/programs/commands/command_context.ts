/**
 * What every command of the tool gets.
 *
 * @module
 */

import type { Result, SesameError } from "../../base/sesame_error.ts";
import type { ApiClient } from "./api_client.ts";
import type { CommandIo } from "./command_io.ts";

/** The surroundings of one command and what all commands share. */
export interface CommandContext {
  readonly client: ApiClient;
  readonly io: CommandIo;
  /** Whether the answer is wanted as JSON. */
  readonly wantsJson: boolean;
}

/** Prints a result; gives the exit code. */
export function report<T>(
  context: CommandContext,
  options: { result: Result<T>; render: (value: T) => string },
): number {
  return options.result.caseOf({
    Left: (error) => reportError(context, error),
    Right: (value) => {
      const text = context.wantsJson
        ? JSON.stringify(value, null, 2)
        : options.render(value);
      context.io.out(text);
      return 0;
    },
  });
}

/** Prints an error; gives its exit code. */
export function reportError(
  context: CommandContext,
  error: SesameError,
): number {
  const { kind, message, location, facts } = error;
  if (context.wantsJson) {
    context.io.error(
      JSON.stringify({ error: { kind, message, location, facts } }),
    );
  } else {
    const where = location === undefined ? "" : ` (at ${location})`;
    context.io.error(`${kind}: ${message}${where}`);
  }
  return error.answer.exitCode;
}
