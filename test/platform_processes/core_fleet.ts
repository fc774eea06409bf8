/**
 * Loses cores and starts others in their place, as an operator's platform does.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { existsSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import process from "node:process";
import { delay } from "../process/cluster.ts";
import {
  controlAddress,
  type ProgramPlace,
  SEED_COUNT,
  successorPlace,
} from "./layout.ts";
import { commandFor, dataFolder, writeSettings } from "./program_settings.ts";
import type { Programs } from "./programs.ts";

const EXIT_LIMIT_MS = 2_000;
const EXIT_POLL_MS = 5;

/** The cores of a test, which change while it runs. */
export class CoreFleet {
  readonly #programs: Programs;
  readonly #target: string;
  /** The operator's list: all cores but those that were replaced. */
  #listed: ProgramPlace[];
  #startedCount = 0;

  constructor(programs: Programs, options: { target: string }) {
    this.#programs = programs;
    this.#target = options.target;
    this.#listed = [...programs.cores];
  }

  get listed(): readonly ProgramPlace[] {
    return this.#listed;
  }

  /** The addresses at which workers find cores. */
  get controlAddresses(): string[] {
    return this.#listed.map(controlAddress);
  }

  place(name: string): ProgramPlace {
    return this.#programs.cores.find((core) => core.name === name)!;
  }

  /** Kills a core and keeps it down. */
  async lose(name: string): Promise<void> {
    this.#programs.hold(name);
    this.#programs.signal(name, "SIGKILL");
    const endMs = performance.now() + EXIT_LIMIT_MS;
    while (
      existsSync(this.#path(name, "pid")) && performance.now() < endMs
    ) {
      await delay(EXIT_POLL_MS);
    }
  }

  /** Ends the supervisor of a core that is down, and takes it off the list. */
  retire(name: string): void {
    this.#listed = this.#listed.filter((core) => core.name !== name);
    try {
      const text = readFileSync(this.#path(name, "supervisor"), "utf8");
      process.kill(Number(text), "SIGTERM");
    } catch {
      // It has ended by itself.
    }
  }

  /** Starts an empty core of another name and address in the data centre. */
  startSuccessor(
    name: string,
    options: { seeds: readonly string[] },
  ): ProgramPlace {
    const { layout } = this.#programs;
    const place = successorPlace(layout, {
      of: this.place(name),
      number: this.#startedCount++,
    });
    writeSettings(layout, place, { ...options, formsGroup: false });
    const command = commandFor(layout, place, this.#target).split(" ");
    const supervisor = spawn(
      "tools/supervise",
      [layout.folder, place.name, ...command],
      { stdio: "ignore", detached: true },
    );
    supervisor.unref();
    writeFileSync(this.#path(place.name, "supervisor"), `${supervisor.pid}\n`);
    this.#listed.push(place);
    this.#programs.add(place);
    return place;
  }

  /** Lets a core that is down start again at its address. */
  restart(
    name: string,
    options: { seeds: readonly string[]; isWiped: boolean },
  ): ProgramPlace {
    const { layout } = this.#programs;
    const place = this.place(name);
    const { seeds, isWiped } = options;
    if (isWiped) {
      rmSync(dataFolder(layout, place), { recursive: true, force: true });
    }
    writeSettings(layout, place, { seeds, formsGroup: false });
    this.#programs.release(name);
    return place;
  }

  /** Tells the doors the addresses of cores that are on the list now. */
  reloadDoors(): void {
    const { layout, doors } = this.#programs;
    const seeds = this.controlAddresses.slice(-SEED_COUNT);
    for (const door of doors) {
      writeSettings(layout, door, { seeds, formsGroup: false });
      this.#programs.signal(door.name, "SIGHUP");
    }
  }

  #path(name: string, suffix: "pid" | "supervisor"): string {
    return `${this.#programs.layout.folder}/${name}.${suffix}`;
  }
}
