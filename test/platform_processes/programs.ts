/**
 * Controls the programs of a test through their supervisors' files, and reads
 * their logs.
 *
 * @module
 */

import {
  closeSync,
  existsSync,
  openSync,
  readFileSync,
  readSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import process from "node:process";
import { delay } from "../process/cluster.ts";
import type { PlatformLayout, ProgramPlace } from "./layout.ts";

/** A line of a program's log. */
export interface LogLine {
  readonly program: string;
  /** Counts the program's processes from 1. */
  readonly life: number;
  readonly event: string;
  readonly atMs: number;
  readonly fields: Record<string, unknown>;
  readonly text: string;
}

const POLL_MS = 20;

/** The programs of one test. */
export class Programs {
  readonly layout: PlatformLayout;
  readonly #places: ProgramPlace[] = [];
  readonly #tails: LogTail[] = [];

  constructor(folder: string) {
    this.layout = JSON.parse(readFileSync(`${folder}/layout.json`, "utf8"));
    this.layout.programs.forEach((place) => this.add(place));
  }

  /** Adds a program that is started during the test. */
  add(place: ProgramPlace): void {
    const { folder } = this.layout;
    const { name } = place;
    this.#places.push(place);
    this.#tails.push(
      new LogTail(
        name,
        [`${folder}/reader-${name}.log`, `${folder}/${name}.log`],
      ),
    );
  }

  /** All cores, with those that have been added. */
  get cores(): ProgramPlace[] {
    return this.#places.filter(({ role }) => role === "core");
  }

  get doors(): ProgramPlace[] {
    return this.#places.filter(({ role }) => role === "door");
  }

  /** All lines that a program or all programs have logged so far. */
  lines(program?: string): LogLine[] {
    return this.#tails.flatMap((tail) => tail.lines())
      .filter((line) => program === undefined || line.program === program);
  }

  /** The core that began each epoch. */
  leadersByEpoch(): Map<number, string> {
    return new Map(
      this.lines().filter(({ event }) => event === "batchLeaderBegan")
        .map(({ fields, program }) => [Number(fields.epoch), program]),
    );
  }

  /** The core that began the latest epoch. */
  leader(): string | undefined {
    return [...this.leadersByEpoch()].sort(([a], [b]) => b - a)[0]?.[1];
  }

  /** Polls until the value is defined; throws after the timeout. */
  async waitFor<T>(
    what: string,
    read: () => T | undefined,
    timeoutMs = 20_000,
  ): Promise<T> {
    const endMs = performance.now() + timeoutMs;
    while (true) {
      const value = read();
      if (value !== undefined) {
        return value;
      }
      if (performance.now() > endMs) {
        throw new Error(`timed out waiting for ${what}`);
      }
      await delay(POLL_MS);
    }
  }

  signal(
    name: string,
    signal: "SIGKILL" | "SIGTERM" | "SIGSTOP" | "SIGCONT" | "SIGHUP",
  ): boolean {
    try {
      const text = readFileSync(`${this.layout.folder}/${name}.pid`, "utf8");
      return process.kill(Number(text), signal);
    } catch {
      return false;
    }
  }

  /** Keeps a program from being started again. */
  hold(name: string): void {
    writeFileSync(`${this.layout.folder}/${name}.hold`, "");
  }

  release(name: string): void {
    rmSync(`${this.layout.folder}/${name}.hold`, { force: true });
  }

  /** Kills a program and lets it start again after a time. */
  async kill(name: string, downMs: number): Promise<void> {
    this.hold(name);
    this.signal(name, "SIGKILL");
    await delay(downMs);
    this.release(name);
  }
}

/** Reads the lines that are added to a log. */
class LogTail {
  readonly #program: string;
  readonly #paths: readonly string[];
  readonly #lines: LogLine[] = [];
  #offset = 0;
  #rest = "";
  #life = 0;

  /** Reads the first of the files that exists. */
  constructor(program: string, paths: readonly string[]) {
    this.#program = program;
    this.#paths = paths;
  }

  lines(): readonly LogLine[] {
    const path = this.#paths.find((each) => existsSync(each));
    if (path === undefined) {
      return this.#lines;
    }
    const descriptor = openSync(path, "r");
    const buffer = new Uint8Array(65_536);
    const decoder = new TextDecoder();
    while (true) {
      const count = readSync(
        descriptor,
        buffer,
        0,
        buffer.length,
        this.#offset,
      );
      if (count === 0) {
        break;
      }
      this.#offset += count;
      this.#rest += decoder.decode(buffer.subarray(0, count));
    }
    closeSync(descriptor);
    const texts = this.#rest.split("\n");
    this.#rest = texts.pop() ?? "";
    texts.forEach((text) => this.#add(text));
    return this.#lines;
  }

  #add(text: string): void {
    try {
      const fields = JSON.parse(text) as Record<string, unknown>;
      const event = String(fields.event);
      this.#life += event === "settingsLoaded" ? 1 : 0;
      this.#lines.push({
        program: this.#program,
        life: this.#life,
        event,
        atMs: Date.parse(String(fields.time)),
        fields,
        text,
      });
    } catch {
      // Not a log line; it stays in the file.
    }
  }
}
