/**
 * The command line of instances and of the shell.
 *
 * @module
 */

import type { CAC } from "cac";
import { report } from "../commands/command_context.ts";
import { completionScript } from "../commands/completion.ts";
import { explain } from "../commands/explain.ts";
import { showStatus, showTimeline } from "../commands/instance_commands.ts";
import { count, type Flags, run, text } from "./flags.ts";

/** Adds `status`, `timeline`, `explain` and `completion`. */
export function addInstanceCommands(program: CAC): void {
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
    .command("explain <id>", "Tell from log files what became of a job")
    .option("--logs <files>", "Files of log lines, separated by commas")
    .action((id: string, flags: Flags) =>
      run(flags, (context) =>
        explain(context, {
          id,
          logs: (text(flags, "logs", "logs").logs ?? "").split(",")
            .filter((path) => path !== ""),
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
