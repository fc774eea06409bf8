#!/usr/bin/env node
/**
 * The command-line tool for callers and operators.
 *
 * @module
 */

import process from "node:process";
import { type CAC, cac } from "cac";
import { API_CLIENT_DEFAULTS, ApiClient } from "./commands/api_client.ts";
import { type CommandContext, report } from "./commands/command_context.ts";
import { PROCESS_IO } from "./commands/command_io.ts";
import { completionScript } from "./commands/completion.ts";
import { showStatus, showTimeline } from "./commands/instance_commands.ts";
import {
  cancelJob,
  listJobs,
  listWorkers,
  showJob,
  submitJob,
} from "./commands/job_commands.ts";
import { listBackends, sendRequest } from "./commands/request_commands.ts";

/** Exit code for faults in the command line. */
const EXIT_USAGE = 64;

/** The variable that names the instances to ask. */
const SERVER_VARIABLE = "SESAMETHREAD_SERVER";

type Flags = Readonly<Record<string, unknown>>;

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

function addJobCommands(program: CAC): void {
  program
    .command("submit <file>", "Queue the job that a TOML file describes")
    .option("--job-id <id>", "Its identity; the file's, or a new one")
    .action((file: string, flags: Flags) =>
      run(
        flags,
        (context) =>
          submitJob(context, { file, ...text(flags, "jobId", "jobId") }),
      )
    );
  program
    .command("jobs", "List the newest jobs")
    .option("--limit <count>", "At most so many")
    .action((flags: Flags) =>
      run(flags, (context) => listJobs(context, count(flags, "limit")))
    );
  program
    .command("job <id>", "Show one job and the reason for which it waits")
    .action((jobId: string, flags: Flags) =>
      run(flags, (context) => showJob(context, { jobId }))
    );
  program
    .command("cancel <id>", "Cancel a job")
    .action((jobId: string, flags: Flags) =>
      run(flags, (context) => cancelJob(context, { jobId }))
    );
  program
    .command("workers", "List the workers")
    .action((flags: Flags) => run(flags, listWorkers));
}

function addRequestCommands(program: CAC): void {
  program
    .command("request <service>", "Send one request")
    .option("--id <id>", "Its identity; the same on every retry")
    .option("--class <name>", "Its class")
    .option("--deadline-ms <ms>", "How long the answer is of use")
    .option("--idempotent", "It may be run more than once")
    .option("--client-account <id>", "For which client account")
    .option("--file <file>", "Its body; - for standard input")
    .action((service: string, flags: Flags) =>
      run(flags, (context) =>
        sendRequest(context, {
          service,
          isIdempotent: flags["idempotent"] === true,
          ...text(flags, "id", "id"),
          ...text(flags, "class", "requestClass"),
          ...text(flags, "clientAccount", "clientAccount"),
          ...text(flags, "file", "file"),
          ...(flags["deadlineMs"] === undefined
            ? {}
            : { timeoutMs: Number(flags["deadlineMs"]) }),
        }))
    );
  program
    .command("backends", "List the backend servers that the instance knows")
    .action((flags: Flags) => run(flags, listBackends));
}

function addInstanceCommands(program: CAC): void {
  program
    .command("status", "Show the instance, its peers and its groups")
    .action((flags: Flags) => run(flags, showStatus));
  program
    .command("timeline", "Show the events of all instances in causal order")
    .option("--job <id>", "Only those of a job")
    .option("--request <id>", "Only those of a request")
    .option("--instance <id>", "Only those of an instance")
    .option("--limit <count>", "At most so many")
    .action((flags: Flags) =>
      run(flags, (context) =>
        showTimeline(context, {
          ...text(flags, "job", "job"),
          ...text(flags, "request", "request"),
          ...text(flags, "instance", "instance"),
          ...count(flags, "limit"),
        }))
    );
  program
    .command("completion <shell>", "Print completion for bash, zsh or fish")
    .action((shell: string, flags: Flags) =>
      run(flags, (context) =>
        Promise.resolve(report(context, {
          result: completionScript(shell),
          render: (script) => script,
        })))
    );
}

async function run(
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
function text<Name extends string>(
  flags: Flags,
  flag: string,
  name: Name,
): { [Key in Name]?: string } {
  const value = flags[flag];
  const part: { [Key in Name]?: string } = {};
  if (value !== undefined) {
    part[name] = String(value);
  }
  return part;
}

/** The flag as a whole number, or nothing when it is absent. */
function count(flags: Flags, flag: "limit"): { limit?: number } {
  const value = flags[flag];
  return value === undefined ? {} : { limit: Number(value) };
}

main();
