/**
 * Definitions of the commands `config`, `datacentre`, `member` and `key`.
 *
 * @module
 */

import process from "node:process";
import type { CAC } from "cac";
import type { CommandContext } from "../commands/command_context.ts";
import {
  checkConfiguration,
  editConfiguration,
  getConfiguration,
  KEY_VARIABLE,
  printKeyHash,
  setDataCentreStatus,
  showConfigurationHistory,
  validateConfiguration,
} from "../commands/config/mod.ts";
import { changeMember } from "../commands/member_commands.ts";
import { type Flags, numberFlag, runCommand, textFlag } from "./flags.ts";

/** Exit code for command-line usage errors. */
const EXIT_USAGE = 64;

type Action = (context: CommandContext) => Promise<number>;

/** Adds `config`, `datacentre`, `key` and `member`. */
export function addConfigCommands(program: CAC): void {
  program
    .command(
      "config <action> [target]",
      "get [SECTION], edit SECTION, history, validate FILE or check FILE",
    )
    .option(
      "--file <file>",
      "File with the section's new text; - for standard input",
    )
    .option("--remove", "Remove the section")
    .option("--base <version>", "Version that the edit is based on")
    .option("--edit-id <id>", "Resume an edit whose response was lost")
    .option(
      "--dry-run",
      "Show the diff and the expected result, change nothing",
    )
    .option(
      "--against <file>",
      "File or instance address with the version to compare with, for check",
    )
    .option("--section <id>", "Show only the history of this section")
    .option("--limit <count>", "Maximum number of entries")
    .option(
      "--key <team:key>",
      `Team and its key; default from ${KEY_VARIABLE}`,
    )
    .action((action: string, target: string | undefined, flags: Flags) =>
      runCommand(flags, configAction(action, { target, flags }))
    );
  program
    .command(
      "datacentre <action> <name>",
      "out or in: set the status of a data centre",
    )
    .option("--wait-ms <ms>", "How long to wait for a removal to take effect")
    .option(
      "--key <team:key>",
      `Team and its key; default from ${KEY_VARIABLE}`,
    )
    .action((action: string, dataCentre: string, flags: Flags) =>
      runCommand(flags, dataCentreAction(action, { dataCentre, flags }))
    );
  program
    .command(
      "member <action> <group> <id>",
      "add or remove a voter; lost: declare that its state is lost",
    )
    .option(
      "--key <team:key>",
      `Team and its key; default from ${KEY_VARIABLE}`,
    )
    .action((action: string, group: string, member: string, flags: Flags) =>
      runCommand(flags, memberAction(action, { group, member, flags }))
    );
  program
    .command(
      "key <action>",
      "hash: print the salted hash of a key, or of a new key",
    )
    .option(
      "--file <file>",
      "File with the key, - for standard input; a new key if absent",
    )
    .action((action: string, flags: Flags) =>
      runCommand(
        flags,
        (context) =>
          action === "hash"
            ? printKeyHash(context, textFlag(flags, "file", "file"))
            : reportUsageError(context, `unknown action: key ${action}`),
      )
    );
}

function configAction(
  action: string,
  options: { target: string | undefined; flags: Flags },
): Action {
  const { target, flags } = options;
  switch (action) {
    case "get":
      return (context) =>
        getConfiguration(context, {
          ...teamKeyOption(flags),
          ...(target === undefined ? {} : { section: target }),
        });
    case "edit":
      return (context) => editSection(context, { target, flags });
    case "history":
      return (context) =>
        showConfigurationHistory(context, {
          ...textFlag(flags, "section", "section"),
          ...numberFlag(flags, "limit", { name: "limit", atLeast: 1 }),
        });
    case "validate":
      return (context) =>
        target === undefined
          ? reportUsageError(context, "config validate without a file")
          : validateConfiguration(context, { file: target });
    case "check":
      return (context) =>
        target === undefined
          ? reportUsageError(context, "config check without a file")
          : checkConfiguration(context, {
            file: target,
            ...teamKeyOption(flags),
            ...textFlag(flags, "against", "against"),
          });
    default:
      return (context) =>
        reportUsageError(context, `unknown action: config ${action}`);
  }
}

function editSection(
  context: CommandContext,
  options: { target: string | undefined; flags: Flags },
): Promise<number> {
  const { target, flags } = options;
  if (target === undefined) {
    return reportUsageError(context, "config edit without a section");
  }
  return editConfiguration(context, {
    section: target,
    ...teamKeyOption(flags),
    ...textFlag(flags, "file", "file"),
    ...textFlag(flags, "editId", "editId"),
    ...numberFlag(flags, "base", { name: "base" }),
    remove: flags["remove"] === true,
    dryRun: flags["dryRun"] === true,
  });
}

function dataCentreAction(
  action: string,
  options: { dataCentre: string; flags: Flags },
): Action {
  const { dataCentre, flags } = options;
  if (action !== "in" && action !== "out") {
    return (context) =>
      reportUsageError(context, `unknown action: datacentre ${action}`);
  }
  return (context) =>
    setDataCentreStatus(context, {
      dataCentre,
      status: action,
      ...teamKeyOption(flags),
      ...numberFlag(flags, "waitMs", { name: "waitMs" }),
    });
}

function memberAction(
  action: string,
  options: { group: string; member: string; flags: Flags },
): Action {
  const { group, member, flags } = options;
  if (action !== "add" && action !== "remove" && action !== "lost") {
    return (context) =>
      reportUsageError(context, `unknown action: member ${action}`);
  }
  return (context) =>
    changeMember(context, { action, group, member, ...teamKeyOption(flags) });
}

function teamKeyOption(flags: Flags): { key?: string } {
  const fromVariable = process.env[KEY_VARIABLE];
  return {
    ...(fromVariable === undefined ? {} : { key: fromVariable }),
    ...textFlag(flags, "key", "key"),
  };
}

function reportUsageError(
  context: CommandContext,
  problem: string,
): Promise<number> {
  context.io.error(`sesamethread: ${problem}: see sesamethread --help`);
  return Promise.resolve(EXIT_USAGE);
}
