/**
 * `npm run golden`: runs every golden session and compares it with its file;
 * with `--update`, overwrites files that differ.
 *
 * @module
 */

import { cac } from "cac";
import { createPatch } from "diff";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { GOLDEN_FOLDER, GOLDEN_SESSIONS } from "./golden_sessions.ts";

async function main(): Promise<void> {
  const cli = cac("golden");
  cli.option("--update", "Overwrite files that differ");
  cli.help();
  const { options } = cli.parse();
  if (options["help"] === true) {
    return;
  }
  for (const { name, run } of GOLDEN_SESSIONS) {
    const path = `${GOLDEN_FOLDER}/${name}.txt`;
    const before = existsSync(path) ? readFileSync(path, "utf8") : "";
    const after = await run();
    if (after === before) {
      continue;
    }
    process.stdout.write(createPatch(path, before, after));
    if (options["update"] === true) {
      writeFileSync(path, after);
    } else {
      process.exitCode = 1;
    }
  }
}

await main();
