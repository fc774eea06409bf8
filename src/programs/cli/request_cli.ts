/**
 * Definitions of the commands `request` and `backends`.
 *
 * @module
 */

import type { CAC } from "cac";
import { listBackends, sendRequest } from "../commands/request_commands.ts";
import { type Flags, numberFlag, runCommand, textFlag } from "./flags.ts";

/** Adds `request` and `backends`. */
export function addRequestCommands(program: CAC): void {
  program
    .command("request <service>", "Send one request")
    .option("--id <id>", "Request ID; must be the same on every retry")
    .option("--class <name>", "Request class")
    .option("--deadline-ms <ms>", "Time until the response is no longer needed")
    .option("--idempotent", "The request may be run more than once")
    .option("--client-account <id>", "Client account of the request")
    .option("--file <file>", "File with the body; - for standard input")
    .action((service: string, flags: Flags) =>
      runCommand(flags, (context) =>
        sendRequest(context, {
          service,
          isIdempotent: flags["idempotent"] === true,
          ...textFlag(flags, "id", "id"),
          ...textFlag(flags, "class", "requestClass"),
          ...textFlag(flags, "clientAccount", "clientAccount"),
          ...textFlag(flags, "file", "file"),
          ...numberFlag(flags, "deadlineMs", {
            name: "timeoutMs",
            atLeast: 1,
          }),
        }))
    );
  program
    .command("backends", "List the backend servers that the instance knows")
    .action((flags: Flags) => runCommand(flags, listBackends));
}
