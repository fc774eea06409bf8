/**
 * Where a command reads and writes, so that tests can stand in for it.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import process from "node:process";
import { text } from "node:stream/consumers";
import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";

/** The surroundings of one command. */
export interface CommandIo {
  out(text: string): void;
  error(text: string): void;
  /** The whole of a file, or of the standard input for `-`. */
  read(path: string): Promise<Result<string>>;
}

/** The surroundings of a real process. */
export const PROCESS_IO: CommandIo = {
  out: (line) => void process.stdout.write(line + "\n"),
  error: (line) => void process.stderr.write(line + "\n"),
  read: readPath,
};

async function readPath(path: string): Promise<Result<string>> {
  try {
    const whole = path === "-"
      ? await text(process.stdin)
      : await readFile(path, "utf8");
    return Right(whole);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return failure("notFound", { detail, location: path });
  }
}
