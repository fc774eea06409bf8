/**
 * The event log of one process: keeps a bounded timeline in memory and
 * optionally writes log lines with `tslog`.
 *
 * @module
 */

import type { Logger } from "tslog";
import type { InstanceId } from "../../base/identity.ts";
import {
  EVENT_CATALOGUE,
  type EventFields,
  type EventLog,
  type EventName,
} from "../../base/mod.ts";
import type { HybridClock } from "./hybrid_clock.ts";
import {
  matchesQuery,
  type TimelineQuery,
  type TimelineRecord,
} from "./timeline_record.ts";

/** Options of a {@link Timeline}. */
export interface TimelineOptions {
  readonly instanceId: InstanceId;
  readonly hybridClock: HybridClock;
  /** The maximum number of events kept; the oldest are dropped first. */
  readonly capacity: number;
  /** Writes the log lines; without it, none are written. */
  readonly logger?: Logger<unknown>;
}

/** The timeline of one process. */
export class Timeline implements EventLog {
  #options: TimelineOptions;
  #records: TimelineRecord[] = [];
  #oldestIndex = 0;
  #sequence = 0;

  constructor(options: TimelineOptions) {
    this.#options = options;
  }

  emit(name: EventName, fields: EventFields = {}): void {
    const { number, level } = EVENT_CATALOGUE[name];
    const record: TimelineRecord = {
      ...this.#options.hybridClock.next(),
      instance: this.#options.instanceId,
      sequence: this.#sequence++,
      number,
      name,
      level,
      fields: dropAbsent(fields),
    };
    this.#store(record);
    this.#options.logger?.[level](name, {
      number,
      instance: record.instance,
      ...record.fields,
    });
  }

  /** The newest records that match the query, oldest first. */
  read(query: TimelineQuery): TimelineRecord[] {
    const found: TimelineRecord[] = [];
    for (let back = 1; back <= this.#records.length; back++) {
      const record = this.#fromNewest(back);
      if (found.length === query.limit) {
        break;
      }
      if (matchesQuery(record, query)) {
        found.push(record);
      }
    }
    return found.reverse();
  }

  #store(record: TimelineRecord): void {
    if (this.#records.length < this.#options.capacity) {
      this.#records.push(record);
      return;
    }
    this.#records[this.#oldestIndex] = record;
    this.#oldestIndex = (this.#oldestIndex + 1) % this.#options.capacity;
  }

  #fromNewest(back: number): TimelineRecord {
    const length = this.#records.length;
    const index = (this.#oldestIndex + length - back) % length;
    return this.#records[index] as TimelineRecord;
  }
}

function dropAbsent(fields: EventFields): TimelineRecord["fields"] {
  const kept: TimelineRecord["fields"] = {};
  for (const [name, value] of Object.entries(fields)) {
    if (value !== undefined) {
      kept[name] = value;
    }
  }
  return kept;
}
