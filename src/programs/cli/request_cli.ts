/**
 * The command line of requests and backend servers.
 *
 * @module
 */

import type { CAC } from "cac";
import { listBackends, sendRequest } from "../commands/request_commands.ts";
import { type Flags, run, text } from "./flags.ts";

/** Adds `request` and `backends`. */
export function addRequestCommands(program: CAC): void {
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
