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

/** Exit code for command-line usage errors. */
const EXIT_USAGE = 64;

function main(): void {
  const program = cac("sesamethread");
  program.option(
    "--server <addresses>",
    "Addresses of instances, separated by commas, tried in order",
  );
  program.option("--json", "Print JSON");
  program.option("--timeout-ms <ms>", "How long to wait for a response");
  addJobCommands(program);
  addRequestCommands(program);
  addConfigCommands(program);
  addInstanceCommands(program);
  program.help();
  program.version("0.1.0");
  try {
    program.parse(process.argv, { run: false });
    if (program.matchedCommand === undefined) {
      reportUnknownCommand(program);
      return;
    }
    void Promise.resolve(program.runMatchedCommand()).catch(reportUsageError);
  } catch (error) {
    reportUsageError(error);
  }
}

function reportUnknownCommand(program: CAC): void {
  const { help, version } = program.options;
  if (help || version) {
    return;
  }
  const [name] = program.args;
  const problem = name === undefined ? "no command" : `unknown command ${name}`;
  reportUsageError(new Error(`${problem}: see sesamethread --help`));
}

function reportUsageError(error: unknown): void {
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`sesamethread: ${message}\n`);
  process.exitCode = EXIT_USAGE;
}

main();
