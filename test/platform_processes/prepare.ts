/**
 * Writes the settings of all programs and the list of their commands, those of
 * `deploy/system.toml`: `prepare.js FOLDER TARGET`, with the folder of the built
 * programs.
 *
 * @module
 */

import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { once } from "node:events";
import { createServer } from "node:net";
import { resolve } from "node:path";
import process from "node:process";
import { parse } from "smol-toml";
import {
  BOUNDS,
  controlAddresses,
  createLayout,
  type PlatformLayout,
  PORTS,
  type ProgramPlace,
} from "./layout.ts";

const SUBNET_ATTEMPTS = 50;

/** How the cores' logs are written to pipes: `blocking` or `nonblocking`. */
const pipeMode = process.env.PIPES;

async function main(): Promise<void> {
  const folder = resolve(process.argv[2] ?? "run/platform");
  const target = resolve(process.argv[3] ?? "target");
  mkdirSync(`${folder}/settings`, { recursive: true });
  const layout = createLayout(folder, await findSubnet());
  writeFileSync(`${folder}/layout.json`, JSON.stringify(layout, null, 2));
  for (const place of layout.programs) {
    if (place.role === "core") {
      mkdirSync(dataFolder(layout, place), { recursive: true });
    }
    const text = JSON.stringify(createSettings(place, layout), null, 2);
    writeFileSync(settingsPath(layout, place), text);
  }
  const lines = layout.programs.flatMap((place) => {
    const command = `env SESAMETHREAD_BOOT=${settingsPath(layout, place)} ` +
      commandOf(place.role).replace("target/", `${target}/`);
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

function commandOf(role: string): string {
  const text = readFileSync("deploy/system.toml", "utf8");
  const { roles } = parse(text) as unknown as {
    roles: Record<string, { run: string }>;
  };
  return roles[role]!.run;
}

function createSettings(
  place: ProgramPlace,
  layout: PlatformLayout,
): Record<string, unknown> {
  const { name, role, host, dataCentre } = place;
  const isCore = role === "core";
  return {
    node: name,
    role,
    machineClass: isCore ? "core" : "edge",
    serves: [isCore ? "control_plane" : "edge"],
    ip: host,
    zone: dataCentre,
    region: dataCentre === "siliguri" ? "bengal-north" : "bengal-east",
    listen: isCore
      ? { control: `${host}:${PORTS.control}` }
      : { front: `${host}:${PORTS.front}`, ready: `${host}:${PORTS.ready}` },
    internalPortRange: [PORTS.internal, PORTS.internal + 15],
    seeds: controlAddresses(layout),
    bootstrap: true,
    countsAsLoss: isCore,
    dataDir: isCore ? dataFolder(layout, place) : null,
    discovery: "self_register",
    entry: "vip",
    heartbeatMs: 1_500,
    faultTolerance: { machines: 1, zones: 1, regions: 0 },
    bounds: BOUNDS,
    config_mode: "highest",
    orders: "call",
  };
}

function settingsPath(layout: PlatformLayout, { name }: ProgramPlace): string {
  return `${layout.folder}/settings/${name}.json`;
}

function dataFolder(layout: PlatformLayout, { name }: ProgramPlace): string {
  return `${layout.folder}/data/${name}`;
}

await main();
