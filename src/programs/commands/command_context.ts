/**
 * The context of a command, and how its result is printed.
 *
 * @module
 */

import type { Result, SesameError } from "../../base/sesame_error.ts";
import type { ApiClient } from "./api_client.ts";
import type { CommandIo } from "./command_io.ts";

/** What a command runs with. */
export interface CommandContext {
  readonly client: ApiClient;
  readonly io: CommandIo;
  /** Whether results and errors are printed as JSON. */
  readonly wantsJson: boolean;
}

/** Prints a result or its error; returns the exit code. */
export function printResult<T>(
  context: CommandContext,
  options: { result: Result<T>; render: (value: T) => string },
): number {
  return options.result.caseOf({
    Left: (error) => printError(context, error),
    Right: (value) => {
      const text = context.wantsJson
        ? JSON.stringify(value, null, 2)
        : options.render(value);
      context.io.out(text);
      return 0;
    },
  });
}

/** Prints an error; returns its exit code. */
export function printError(
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
