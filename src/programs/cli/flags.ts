/**
 * What the command line's flags say, and running one command with them.
 *
 * @module
 */

import process from "node:process";
import { API_CLIENT_DEFAULTS, ApiClient } from "../commands/api_client.ts";
import type { CommandContext } from "../commands/command_context.ts";
import { PROCESS_IO } from "../commands/command_io.ts";

/** The variable that names the instances to ask. */
const SERVER_VARIABLE = "SESAMETHREAD_SERVER";

/** The flags as `cac` gives them. */
export type Flags = Readonly<Record<string, unknown>>;

/** Runs one command; its exit code becomes that of the process. */
export async function run(
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
  const timeoutMs = Number(
    flags["timeoutMs"] ?? API_CLIENT_DEFAULTS.timeoutMs,
  );
  return {
    client: new ApiClient({ servers: servers.split(","), timeoutMs }),
    io: PROCESS_IO,
    wantsJson: flags["json"] === true,
  };
}

/** The flag as a text under another name, or nothing when it is absent. */
export function text<Name extends string>(
  flags: Flags,
  flag: string,
  name: Name,
): { [Key in Name]?: string } {
  const value = flags[flag];
  const part: { [Key in Name]?: string } = {};
  if (value !== undefined) {
    part[name] = asWritten(flag, process.argv) ?? String(value);
  }
  return part;
}

/**
 * The flag's value as it was written: `cac` turns what looks like a number
 * into one, and so would take the identity `007` for 7.
 */
export function asWritten(
  flag: string,
  words: readonly string[],
): string | undefined {
  const option = "--" + flag.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`);
  const at = words.findLastIndex((word) =>
    word === option || word.startsWith(`${option}=`)
  );
  const word = words[at];
  return word === option ? words[at + 1] : word?.slice(option.length + 1);
}

/** The flag as a whole number, or nothing when it is absent. */
export function count(flags: Flags, flag: "limit"): { limit?: number } {
  const value = flags[flag];
  return value === undefined ? {} : { limit: Number(value) };
}
