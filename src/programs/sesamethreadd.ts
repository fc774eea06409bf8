#!/usr/bin/env node
/**
 * The daemon, which runs one instance.
 *
 * @module
 */

import process from "node:process";
import { cac } from "cac";
import type { SesameError } from "../base/mod.ts";
import { Daemon } from "../process/daemon/daemon.ts";
import { containUnexpectedErrors } from "../process/daemon/unexpected_errors.ts";
import { loadSettings, type Settings } from "../process/settings/mod.ts";

/** Exit code for invalid settings and for command-line usage errors. */
const EXIT_USAGE = 2;

function main(): void {
  const program = cac("sesamethreadd");
  program
    .command("", "Run one instance")
    .option("--settings <file>", "Settings file, in TOML")
    .option("--check", "Check the settings, print the effective ones and exit")
    .action((options: { settings?: string; check?: boolean }) =>
      runCommand(options)
    );
  program.help();
  program.version("0.1.0");
  try {
    program.parse();
  } catch (error) {
    reportUsageError(error instanceof Error ? error.message : String(error));
  }
}

function runCommand(options: { settings?: string; check?: boolean }): void {
  if (options.settings === undefined) {
    reportUsageError("--settings FILE is required");
    return;
  }
  loadSettings(options.settings).caseOf({
    Left: (error) => reportUsageError(error.message),
    Right: (settings) => {
      if (options.check) {
        process.stdout.write(JSON.stringify(settings, null, 2) + "\n");
      } else {
        void serve(settings);
      }
    },
  });
}

function reportUsageError(message: string): void {
  process.stderr.write(message + "\n");
  process.exitCode = EXIT_USAGE;
}

async function serve(settings: Settings): Promise<void> {
  const started = await Daemon.start({ settings });
  started.caseOf({
    Left: (error) => exitAfterFailure(error),
    Right: (daemon) => {
      containUnexpectedErrors({ events: daemon.events });
      stopOnSignal(daemon);
    },
  });
}

function exitAfterFailure(error: SesameError): void {
  process.stderr.write(`sesamethreadd: ${error.message}\n`);
  process.exit(error.answer.exitCode);
}

function stopOnSignal(daemon: Daemon): void {
  let isStopping = false;
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => {
      if (!isStopping) {
        isStopping = true;
        void daemon.close(signal).then(() => process.exit(0));
      }
    });
  }
}

main();
