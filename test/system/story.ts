/**
 * A seeded session of the system bed as a story: what users did, what the
 * instances reported and what ran, in logical time.
 *
 * @module
 */

import type { EventFields } from "../../src/base/event_log.ts";
import type { EventName } from "../../src/base/mod.ts";
import { SystemBed } from "./system_bed.ts";
import { type PreparedEdit, SystemSession } from "./system_session.ts";

/** Events that say the same again and again. */
const LEFT_OUT: ReadonlySet<EventName> = new Set(["serverAnnounced"]);

const START_MS = 1_000_000;

/** One session and its lines. */
export class Story {
  readonly bed: SystemBed;
  readonly session: SystemSession;
  readonly #lines: string[] = [];

  constructor(options: { title: string }) {
    this.#lines.push(options.title, "");
    this.bed = new SystemBed({
      onEvent: (instance, name, fields) => this.#hear(instance, name, fields),
      onTask: (task) => this.#write(`  ${task}`),
    });
    this.session = new SystemSession(this.bed, {
      note: (line) => this.#write(`  => ${line}`),
    });
  }

  /** What users or the machines do next. */
  tell(line: string): void {
    this.#lines.push("");
    this.#write(line);
  }

  /** Sends an edit that could be prepared. */
  async edit(
    at: Parameters<SystemSession["send"]>[0],
    edit: PreparedEdit | undefined,
  ): Promise<void> {
    if (edit !== undefined) {
      await this.session.send(at, edit);
    }
  }

  /** The whole text, with the verdict of the oracle. */
  async end(): Promise<string> {
    this.tell("every fault has ended; a minute later:");
    await this.bed.calm(60_000);
    await this.session.judgeEnd();
    this.bed.close();
    const violations = this.bed.oracle.violations();
    this.#lines.push(
      "",
      ...violations.map((text) => `BROKEN: ${text}`),
      violations.length === 0 ? "every promise was kept" : "promises broken",
      "",
    );
    return this.#lines.join("\n");
  }

  #hear(instance: string, name: EventName, fields?: EventFields): void {
    if (!LEFT_OUT.has(name)) {
      const texts = Object.entries(fields ?? {})
        .filter(([field]) => field !== "formationId")
        .map(([field, value]) => `${field}=${shown(value)}`);
      this.#write(`  ${instance} ${[name, ...texts].join(" ")}`);
    }
  }

  #write(text: string): void {
    const atMs = Math.round(this.bed.clock.nowMs() - START_MS);
    const seconds = (atMs / 1_000).toFixed(3).padStart(8);
    this.#lines.push(`${seconds}  ${text}`);
  }
}

/** Moments are shown in logical time. */
function shown(value: string | number | boolean | undefined): string {
  return typeof value === "number" && value >= START_MS
    ? `${Math.round(value - START_MS) / 1_000}s`
    : String(value);
}
