/**
 * An event log as flat JSON lines, each event under a budget of its own.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import {
  EVENT_CATALOGUE,
  type EventFields,
  type EventLog,
  type EventName,
} from "../../base/mod.ts";
import type { LineWriter } from "./line_writer.ts";

/** Lines of one event in each period; more are counted, not written. */
const LINES_PER_PERIOD = 200;

/** How long a budget lasts. */
const PERIOD_MS = 1_000;

/** What a log is made from. */
export interface EventLineLogOptions {
  readonly instanceId: string;
  readonly clock: Clock;
  readonly writer: LineWriter;
  readonly linesPerPeriod?: number;
}

/** Writes each event as one line. */
export class EventLineLog implements EventLog {
  readonly #options: EventLineLogOptions;
  readonly #written = new Map<EventName, number>();
  readonly #suppressed = new Map<EventName, number>();
  readonly #timer: Timer;

  constructor(options: EventLineLogOptions) {
    this.#options = options;
    this.#timer = options.clock.every(PERIOD_MS, () => this.#beginPeriod());
  }

  emit(name: EventName, fields: EventFields = {}): void {
    const limit = this.#options.linesPerPeriod ?? LINES_PER_PERIOD;
    const written = this.#written.get(name) ?? 0;
    if (written >= limit) {
      this.#suppressed.set(name, (this.#suppressed.get(name) ?? 0) + 1);
      return;
    }
    this.#written.set(name, written + 1);
    this.#write(name, fields);
  }

  close(): void {
    this.#timer.close();
    this.#beginPeriod();
  }

  #beginPeriod(): void {
    this.#written.clear();
    for (const [name, lines] of this.#suppressed) {
      this.#write("logLinesSuppressed", { suppressed: name, lines });
    }
    this.#suppressed.clear();
  }

  #write(name: EventName, fields: EventFields): void {
    const { number, level } = EVENT_CATALOGUE[name];
    const { clock, instanceId, writer } = this.#options;
    writer.push(JSON.stringify({
      time: new Date(clock.nowMs()).toISOString(),
      level,
      event: name,
      number,
      instance: instanceId,
      ...fields,
    }));
  }
}
