/**
 * The command line of the document.
 *
 * @module
 */

import process from "node:process";
import type { CAC } from "cac";
import type { CommandContext } from "../commands/command_context.ts";
import {
  editConfiguration,
  getConfiguration,
  KEY_VARIABLE,
  printKeyHash,
  showConfigurationHistory,
  switchDataCentre,
  validateConfiguration,
} from "../commands/config/mod.ts";
import { changeMember } from "../commands/member_commands.ts";
import { count, type Flags, run, text } from "./flags.ts";

/** Exit code for an unknown action of a command. */
const EXIT_USAGE = 64;

type Action = (context: CommandContext) => Promise<number>;

/** Adds `config`, `datacentre`, `key` and `member`. */
export function addConfigCommands(program: CAC): void {
  program
    .command(
      "config <action> [target]",
      "get [SECTION], edit SECTION, history or validate FILE",
    )
    .option("--file <file>", "The section's new text; - for standard input")
    .option("--remove", "Remove the section")
    .option("--base <version>", "The version that the edit was made from")
    .option("--edit-id <id>", "Go on with an edit whose answer was lost")
    .option("--dry-run", "Only show the difference and what would come")
    .option("--section <id>", "Only the history of this section")
    .option("--limit <count>", "At most so many entries")
    .option("--key <team:key>", `The team and its key; or ${KEY_VARIABLE}`)
    .action((action: string, target: string | undefined, flags: Flags) =>
      run(flags, configAction(action, { target, flags }))
    );
  program
    .command("datacentre <action> <name>", "Take it out, or back in")
    .option("--wait-ms <ms>", "How long to wait till a removal holds")
    .option("--key <team:key>", `The team and its key; or ${KEY_VARIABLE}`)
    .action((action: string, dataCentre: string, flags: Flags) =>
      run(flags, switchAction(action, { dataCentre, flags }))
    );
  program
    .command(
      "member <action> <group> <id>",
      "add, remove, or vouch that its state is lost",
    )
    .option("--key <team:key>", `The team and its key; or ${KEY_VARIABLE}`)
    .action((action: string, group: string, member: string, flags: Flags) =>
      run(flags, memberAction(action, { group, member, flags }))
    );
  program
    .command("key <action>", "hash: the salted hash of a key, or a new key")
    .option("--file <file>", "Where the key is; a new one when absent")
    .action((action: string, flags: Flags) =>
      run(
        flags,
        (context) =>
          action === "hash"
            ? printKeyHash(context, text(flags, "file", "file"))
            : unknownAction(context, `key ${action}`),
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
          ...keyOf(flags),
          ...(target === undefined ? {} : { section: target }),
        });
    case "edit":
      return (context) => editSection(context, { target, flags });
    case "history":
      return (context) =>
        showConfigurationHistory(context, {
          ...text(flags, "section", "section"),
          ...count(flags, "limit"),
        });
    case "validate":
      return (context) =>
        target === undefined
          ? unknownAction(context, "config validate without a file")
          : validateConfiguration(context, { file: target });
    default:
      return (context) => unknownAction(context, `config ${action}`);
  }
}

function editSection(
  context: CommandContext,
  options: { target: string | undefined; flags: Flags },
): Promise<number> {
  const { target, flags } = options;
  if (target === undefined) {
    return unknownAction(context, "config edit without a section");
  }
  return editConfiguration(context, {
    section: target,
    ...keyOf(flags),
    ...text(flags, "file", "file"),
    ...text(flags, "editId", "editId"),
    ...(flags["base"] === undefined ? {} : { base: Number(flags["base"]) }),
    remove: flags["remove"] === true,
    dryRun: flags["dryRun"] === true,
  });
}

function switchAction(
  action: string,
  options: { dataCentre: string; flags: Flags },
): Action {
  const { dataCentre, flags } = options;
  if (action !== "in" && action !== "out") {
    return (context) => unknownAction(context, `datacentre ${action}`);
  }
  return (context) =>
    switchDataCentre(context, {
      dataCentre,
      status: action,
      ...keyOf(flags),
      ...(flags["waitMs"] === undefined
        ? {}
        : { waitMs: Number(flags["waitMs"]) }),
    });
}

function memberAction(
  action: string,
  options: { group: string; member: string; flags: Flags },
): Action {
  const { group, member, flags } = options;
  if (action !== "add" && action !== "remove" && action !== "lost") {
    return (context) => unknownAction(context, `member ${action}`);
  }
  return (context) =>
    changeMember(context, { action, group, member, ...keyOf(flags) });
}

function keyOf(flags: Flags): { key?: string } {
  const fromVariable = process.env[KEY_VARIABLE];
  return {
    ...(fromVariable === undefined ? {} : { key: fromVariable }),
    ...text(flags, "key", "key"),
  };
}

function unknownAction(
  context: CommandContext,
  what: string,
): Promise<number> {
  context.io.error(`sesamethread: ${what}: see sesamethread --help`);
  return Promise.resolve(EXIT_USAGE);
}
