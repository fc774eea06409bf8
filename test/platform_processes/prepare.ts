/**
 * Writes the settings of all programs and the list of their commands, those of
 * `deploy/system.toml`: `prepare.js FOLDER TARGET PLAY [ARGUMENT...]`, with the
 * folder of the built programs and what the play is started with.
 *
 * @module
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { once } from "node:events";
import { createServer } from "node:net";
import { resolve } from "node:path";
import process from "node:process";
import {
  controlAddresses,
  createLayout,
  type PlatformLayout,
  PORTS,
  type ProgramPlace,
  shapeFor,
} from "./layout.ts";
import { commandFor, writeSettings } from "./program_settings.ts";

const SUBNET_ATTEMPTS = 50;

/** How the cores' logs are written to pipes: `blocking` or `nonblocking`. */
const pipeMode = process.env.PIPES;

async function main(): Promise<void> {
  const [, , folderText, targetText, play, ...playArguments] = process.argv;
  const folder = resolve(folderText ?? "run/platform");
  const target = resolve(targetText ?? "target");
  mkdirSync(`${folder}/settings`, { recursive: true });
  const layout = createLayout(folder, {
    subnet: await findSubnet(),
    shape: shapeFor(play ?? "", playArguments),
  });
  const seeds = controlAddresses(layout);
  writeFileSync(`${folder}/layout.json`, JSON.stringify(layout, null, 2));
  for (const place of layout.programs) {
    writeSettings(layout, place, { seeds, formsGroup: true });
  }
  const lines = layout.programs.flatMap((place) => {
    const command = commandFor(layout, place, target);
    return pipeMode !== undefined && place.role === "core"
      ? readThroughPipe(layout, place, command)
      : [`${place.name} ${command}`];
  });
  writeFileSync(`${folder}/busy.hold`, "");
  lines.push("busy node dist/test/platform_processes/busy.js");
  writeFileSync(`${folder}/programs`, lines.join("\n") + "\n");
}

/** The commands of a program that logs into a pipe, and of the pipe's reader. */
function readThroughPipe(
  layout: PlatformLayout,
  { name }: ProgramPlace,
  command: string,
): string[] {
  const pipe = `${layout.folder}/${name}.pipe`;
  return [
    `reader-${name} bash test/platform_processes/pipe.sh read ${pipe}`,
    `${name} bash test/platform_processes/pipe.sh ${pipeMode} ${pipe} ` +
    command,
  ];
}

/** A random subnet on which nothing listens at the first core's address. */
async function findSubnet(): Promise<string> {
  const octet = () => 2 + Math.floor(Math.random() * 250);
  for (let attempt = 0; attempt < SUBNET_ATTEMPTS; attempt++) {
    const subnet = `127.${octet()}.${octet()}`;
    const server = createServer().listen(PORTS.control, `${subnet}.1`);
    const isFree = await once(server, "listening").then(
      () => true,
      () => false,
    );
    if (isFree) {
      await once(server.close(), "close");
      return subnet;
    }
  }
  throw new Error("no free subnet");
}

await main();
