/**
 * The event log of one process: a bounded time line in memory, and log lines
 * by `tslog`.
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

/** How a {@link Timeline} is made. */
export interface TimelineOptions {
  readonly instanceId: InstanceId;
  readonly hybridClock: HybridClock;
  /** The most events kept; the oldest go first. */
  readonly capacity: number;
  /** Absent where no log lines are wanted. */
  readonly logger?: Logger<unknown>;
}

/** The time line of one process. */
export class Timeline implements EventLog {
  #options: TimelineOptions;
  #records: TimelineRecord[] = [];
  #oldest = 0;
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
    this.#keep(record);
    this.#options.logger?.[level](name, {
      number,
      instance: record.instance,
      ...record.fields,
    });
  }

  /** The newest records that the query asks for, oldest first. */
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

  #keep(record: TimelineRecord): void {
    if (this.#records.length < this.#options.capacity) {
      this.#records.push(record);
      return;
    }
    this.#records[this.#oldest] = record;
    this.#oldest = (this.#oldest + 1) % this.#options.capacity;
  }

  #fromNewest(back: number): TimelineRecord {
    const length = this.#records.length;
    const at = (this.#oldest + length - back) % length;
    return this.#records[at] as TimelineRecord;
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
