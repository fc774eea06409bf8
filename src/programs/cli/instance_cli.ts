/**
 * Definitions of the commands `status`, `timeline`, `explain` and `completion`.
 *
 * @module
 */

import type { CAC } from "cac";
import { printResult } from "../commands/command_context.ts";
import { completionScript } from "../commands/completion.ts";
import { explain } from "../commands/explain.ts";
import { showStatus, showTimeline } from "../commands/instance_commands.ts";
import { type Flags, numberFlag, runCommand, textFlag } from "./flags.ts";

/** Adds `status`, `timeline`, `explain` and `completion`. */
export function addInstanceCommands(program: CAC): void {
  program
    .command("status", "Show the instance, its peers and its groups")
    .action((flags: Flags) => runCommand(flags, showStatus));
  program
    .command("timeline", "Show the events of all instances in causal order")
    .option("--job <id>", "Show only events of this job")
    .option("--request <id>", "Show only events of this request")
    .option("--instance <id>", "Show only events of this instance")
    .option("--limit <count>", "Maximum number of events")
    .action((flags: Flags) =>
      runCommand(flags, (context) =>
        showTimeline(context, {
          ...textFlag(flags, "job", "job"),
          ...textFlag(flags, "request", "request"),
          ...textFlag(flags, "instance", "instance"),
          ...numberFlag(flags, "limit", { name: "limit", atLeast: 1 }),
        }))
    );
  program
    .command(
      "explain <id>",
      "Show from log files what happened to a job or request",
    )
    .option("--logs <files>", "Log files, separated by commas")
    .action((id: string, flags: Flags) =>
      runCommand(flags, (context) =>
        explain(context, {
          id,
          logs: (textFlag(flags, "logs", "logs").logs ?? "").split(",")
            .filter((path) => path !== ""),
        }))
    );
  program
    .command(
      "completion <shell>",
      "Print the completion script for bash, zsh or fish",
    )
    .action((shell: string, flags: Flags) =>
      runCommand(flags, (context) =>
        Promise.resolve(printResult(context, {
          result: completionScript(shell),
          render: (script) => script,
        })))
    );
}
