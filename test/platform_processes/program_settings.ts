/**
 * The settings files and commands of the platform's programs in a test.
 *
 * @module
 */

import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { parse } from "smol-toml";
import {
  BOUNDS,
  type PlatformLayout,
  PORTS,
  type ProgramPlace,
} from "./layout.ts";

/** What a settings file says that changes between starts. */
export interface SettingsOptions {
  /** Control addresses of cores. */
  readonly seeds: readonly string[];
  /** Whether the seeds form a new group. */
  readonly formsGroup: boolean;
}

const NORTHERN_DATA_CENTRES = ["siliguri", "traverse", "marquette", "petoskey"];

/** Writes a program's settings, and creates its data folder if it needs one. */
export function writeSettings(
  layout: PlatformLayout,
  place: ProgramPlace,
  options: SettingsOptions,
): void {
  if (place.role === "core") {
    mkdirSync(dataFolder(layout, place), { recursive: true });
  }
  const settings = createSettings(layout, place, options);
  writeFileSync(
    settingsPath(layout, place),
    JSON.stringify(settings, null, 2),
  );
}

/** The command that starts a program of the folder of built programs. */
export function commandFor(
  layout: PlatformLayout,
  place: ProgramPlace,
  target: string,
): string {
  const text = readFileSync("deploy/system.toml", "utf8");
  const { roles } = parse(text) as unknown as {
    roles: Record<string, { run: string }>;
  };
  const command = roles[place.role]!.run.replace("target/", `${target}/`);
  return `env SESAMETHREAD_BOOT=${settingsPath(layout, place)} ${command}`;
}

/** Where a core keeps its files. */
export function dataFolder(
  layout: PlatformLayout,
  { name }: ProgramPlace,
): string {
  return `${layout.folder}/data/${name}`;
}

function settingsPath(layout: PlatformLayout, { name }: ProgramPlace): string {
  return `${layout.folder}/settings/${name}.json`;
}

function createSettings(
  layout: PlatformLayout,
  place: ProgramPlace,
  options: SettingsOptions,
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
    region: NORTHERN_DATA_CENTRES.includes(dataCentre)
      ? "bengal-north"
      : "bengal-east",
    listen: isCore
      ? { control: `${host}:${PORTS.control}` }
      : { front: `${host}:${PORTS.front}`, ready: `${host}:${PORTS.ready}` },
    internalPortRange: [PORTS.internal, PORTS.internal + 15],
    seeds: options.seeds,
    bootstrap: options.formsGroup,
    countsAsLoss: isCore,
    dataDir: isCore ? dataFolder(layout, place) : null,
    discovery: "self_register",
    entry: "vip",
    heartbeatMs: 1_500,
    faultTolerance: { machines: layout.lossesBorne, zones: 1, regions: 0 },
    bounds: BOUNDS,
    config_mode: "highest",
    orders: "call",
  };
}
