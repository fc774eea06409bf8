#!/usr/bin/env node
/**
 * The command-line tool for callers and operators.
 *
 * @module
 */

import process from "node:process";
import { type CAC, cac } from "cac";
import { addConfigCommands } from "./cli/config_cli.ts";
import { addInstanceCommands } from "./cli/instance_cli.ts";
import { addJobCommands } from "./cli/job_cli.ts";
import { addRequestCommands } from "./cli/request_cli.ts";

/** Exit code for faults in the command line. */
const EXIT_USAGE = 64;

function main(): void {
  const program = cac("sesamethread");
  program.option(
    "--server <addresses>",
    "Instances to ask, separated by commas, tried in order",
  );
  program.option("--json", "Answer in JSON");
  program.option("--timeout-ms <ms>", "How long to wait for an answer");
  addJobCommands(program);
  addRequestCommands(program);
  addConfigCommands(program);
  addInstanceCommands(program);
  program.help();
  program.version("0.1.0");
  try {
    program.parse(process.argv, { run: false });
    if (program.matchedCommand === undefined) {
      failOnUnknown(program);
      return;
    }
    void Promise.resolve(program.runMatchedCommand()).catch(failOnUsage);
  } catch (error) {
    failOnUsage(error);
  }
}

function failOnUnknown(program: CAC): void {
  const { help, version } = program.options;
  if (help || version) {
    return;
  }
  const [name] = program.args;
  const what = name === undefined ? "no command" : `unknown command ${name}`;
  failOnUsage(new Error(`${what}: see sesamethread --help`));
}

function failOnUsage(error: unknown): void {
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`sesamethread: ${message}\n`);
  process.exitCode = EXIT_USAGE;
}

main();
