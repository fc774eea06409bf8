/**
 * Input and output of commands, which tests replace.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import process from "node:process";
import { text } from "node:stream/consumers";
import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";

/** Input and output of a command. */
export interface CommandIo {
  out(text: string): void;
  error(text: string): void;
  /** Reads a whole file, or standard input if the path is `-`. */
  read(path: string): Promise<Result<string>>;
}

/** Files and standard streams of the process. */
export const PROCESS_IO: CommandIo = {
  out: (line) => void process.stdout.write(line + "\n"),
  error: (line) => void process.stderr.write(line + "\n"),
  read: readPath,
};

async function readPath(path: string): Promise<Result<string>> {
  try {
    const content = path === "-"
      ? await text(process.stdin)
      : await readFile(path, "utf8");
    return Right(content);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return failure("notFound", { detail, location: path });
  }
}
