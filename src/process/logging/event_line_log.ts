/**
 * An event log that writes flat JSON lines and limits the rate of each event.
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

/** Lines written per event and period; further ones are only counted. */
const LINES_PER_PERIOD = 200;

/** The period after which the line budgets are reset. */
const BUDGET_PERIOD_MS = 1_000;

/** Options of an {@link EventLineLog}. */
export interface EventLineLogOptions {
  readonly instanceId: string;
  readonly clock: Clock;
  readonly writer: LineWriter;
  readonly linesPerPeriod?: number;
}

/** Writes each event as one JSON line. */
export class EventLineLog implements EventLog {
  readonly #options: EventLineLogOptions;
  readonly #written = new Map<EventName, number>();
  readonly #suppressed = new Map<EventName, number>();
  readonly #timer: Timer;
  /** Identifies this life of the process: its start in base 36. */
  readonly #life: string;
  /** Counts all lines of this life, with those suppressed or dropped. */
  #line = 0;
  /** Dropped lines that were logged. */
  #reportedDrops = 0;

  constructor(options: EventLineLogOptions) {
    this.#options = options;
    this.#life = Math.floor(options.clock.nowMs()).toString(36);
    this.#timer = options.clock.every(
      BUDGET_PERIOD_MS,
      () => this.#beginPeriod(),
    );
  }

  emit(name: EventName, fields: EventFields = {}): void {
    const limit = this.#options.linesPerPeriod ?? LINES_PER_PERIOD;
    const written = this.#written.get(name) ?? 0;
    if (written >= limit) {
      this.#line += 1;
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
    this.#reportDrops();
  }

  #reportDrops(): void {
    const { dropped } = this.#options.writer;
    const lines = dropped - this.#reportedDrops;
    if (lines > 0 && this.#write("logLinesDropped", { lines })) {
      this.#reportedDrops = dropped;
    }
  }

  /** Writes a line; false if it was dropped. */
  #write(name: EventName, fields: EventFields): boolean {
    const { number, level } = EVENT_CATALOGUE[name];
    const { clock, instanceId, writer } = this.#options;
    this.#line += 1;
    return writer.push(JSON.stringify({
      time: new Date(clock.nowMs()).toISOString(),
      level,
      event: name,
      number,
      instance: instanceId,
      life: this.#life,
      line: this.#line,
      ...fields,
    }));
  }
}
