/**
 * The transcript of a seeded session of the simulated system: what users did,
 * the events of the instances and the tasks that ran, in simulated time.
 *
 * @module
 */

import type { EventFields } from "../../src/base/event_log.ts";
import type { EventName } from "../../src/base/mod.ts";
import { SystemSimulation } from "./system_simulation.ts";
import { type PreparedEdit, SystemSession } from "./system_session.ts";

/** Events that recur periodically without new information. */
const OMITTED_EVENTS: ReadonlySet<EventName> = new Set(["serverAnnounced"]);

/** The time at which the clock of the simulation starts. */
const START_MS = 1_000_000;

/** A session and the lines written about it. */
export class SessionTranscript {
  readonly simulation: SystemSimulation;
  readonly session: SystemSession;
  readonly #lines: string[] = [];

  constructor(options: { title: string }) {
    this.#lines.push(options.title, "");
    this.simulation = new SystemSimulation({
      onEvent: (instance, name, fields) =>
        this.#recordEvent(instance, name, fields),
      onTask: (task) => this.#write(`  ${task}`),
    });
    this.session = new SystemSession(this.simulation, {
      writeLine: (line) => this.#write(`  => ${line}`),
    });
  }

  /** Writes a heading about what users or faults do next. */
  describe(line: string): void {
    this.#lines.push("");
    this.#write(line);
  }

  /** Sends an edit, unless it could not be prepared. */
  async edit(
    at: Parameters<SystemSession["sendEdit"]>[0],
    edit: PreparedEdit | undefined,
  ): Promise<void> {
    if (edit !== undefined) {
      await this.session.sendEdit(at, edit);
    }
  }

  /** Ends all faults and returns the text, with the result of the oracle. */
  async finish(): Promise<string> {
    this.describe("every fault has ended; a minute later:");
    await this.simulation.endFaultsAndWait(60_000);
    await this.session.checkFinalState();
    this.simulation.close();
    const violations = this.simulation.oracle.violations();
    this.#lines.push(
      "",
      ...violations.map((text) => `BROKEN: ${text}`),
      violations.length === 0 ? "every promise was kept" : "promises broken",
      "",
    );
    return this.#lines.join("\n");
  }

  #recordEvent(instance: string, name: EventName, fields?: EventFields): void {
    if (!OMITTED_EVENTS.has(name)) {
      const texts = Object.entries(fields ?? {})
        .filter(([field]) => field !== "formationId")
        .map(([field, value]) => `${field}=${formatValue(value)}`);
      this.#write(`  ${instance} ${[name, ...texts].join(" ")}`);
    }
  }

  #write(text: string): void {
    const atMs = Math.round(this.simulation.clock.nowMs() - START_MS);
    const seconds = (atMs / 1_000).toFixed(3).padStart(8);
    this.#lines.push(`${seconds}  ${text}`);
  }
}

/** Shows a number from `START_MS` on as a time since the start. */
function formatValue(value: string | number | boolean | undefined): string {
  return typeof value === "number" && value >= START_MS
    ? `${Math.round(value - START_MS) / 1_000}s`
    : String(value);
}
