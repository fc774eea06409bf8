/**
 * Reads the command-line flags and runs a command with them.
 *
 * @module
 */

import process from "node:process";
import { API_CLIENT_DEFAULTS, ApiClient } from "../commands/api_client.ts";
import type { CommandContext } from "../commands/command_context.ts";
import { PROCESS_IO } from "../commands/command_io.ts";

/** The environment variable with the addresses of the instances to call. */
const SERVER_VARIABLE = "SESAMETHREAD_SERVER";

/** The flags as parsed by `cac`. */
export type Flags = Readonly<Record<string, unknown>>;

/** Runs a command; its exit code becomes that of the process. */
export async function runCommand(
  flags: Flags,
  command: (context: CommandContext) => Promise<number>,
): Promise<void> {
  process.exitCode = await command(createContext(flags));
}

function createContext(flags: Flags): CommandContext {
  const servers = String(
    flags["server"] ?? process.env[SERVER_VARIABLE] ??
      API_CLIENT_DEFAULTS.server,
  );
  const { timeoutMs = API_CLIENT_DEFAULTS.timeoutMs } = numberFlag(
    flags,
    "timeoutMs",
    { name: "timeoutMs", atLeast: 1 },
  );
  return {
    client: new ApiClient({ servers: servers.split(","), timeoutMs }),
    io: PROCESS_IO,
    wantsJson: flags["json"] === true,
  };
}

/**
 * Returns the flag's text as the property `name`, or an empty object if the
 * flag is absent.
 */
export function textFlag<Name extends string>(
  flags: Flags,
  flag: string,
  name: Name,
): { [Key in Name]?: string } {
  const value = flags[flag];
  const property: { [Key in Name]?: string } = {};
  if (value !== undefined) {
    property[name] = rawFlagValue(flag, process.argv) ?? String(value);
  }
  return property;
}

/**
 * Returns the flag's value as typed. `cac` converts values that look like
 * numbers, which would turn the ID `007` into 7.
 */
export function rawFlagValue(
  flag: string,
  args: readonly string[],
): string | undefined {
  const option = optionOf(flag);
  const index = args.findLastIndex((argument) =>
    argument === option || argument.startsWith(`${option}=`)
  );
  const argument = args[index];
  return argument === option
    ? args[index + 1]
    : argument?.slice(option.length + 1);
}

/**
 * Returns the flag's number as the property `name`, or an empty object if the
 * flag is absent. Throws if it isn't a whole number that is large enough.
 */
export function numberFlag<Name extends string>(
  flags: Flags,
  flag: string,
  options: { name: Name; atLeast?: number },
): { [Key in Name]?: number } {
  const { name, atLeast = 0 } = options;
  const value = flags[flag];
  const property: { [Key in Name]?: number } = {};
  if (value !== undefined) {
    property[name] = parseWholeNumber(value, { flag, atLeast });
  }
  return property;
}

/** Parses a flag's whole number; throws if it is none or too small. */
export function parseWholeNumber(
  value: unknown,
  options: { flag: string; atLeast: number },
): number {
  const { flag, atLeast } = options;
  const number = typeof value === "boolean" || value === ""
    ? Number.NaN
    : Number(value);
  if (!Number.isSafeInteger(number) || number < atLeast) {
    throw new Error(
      `${optionOf(flag)} must be a whole number of at least ${atLeast}, ` +
        `not ${String(value)}`,
    );
  }
  return number;
}

/** The flag as it is typed. */
function optionOf(flag: string): string {
  return "--" + flag.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`);
}
