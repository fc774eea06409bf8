/**
 * Counts events for the metrics before passing them to the log, including
 * events whose lines the log suppresses.
 *
 * @module
 */

import type { EventFields, EventLog, EventName } from "../../base/mod.ts";
import type { MetricsRegistry } from "../http/mod.ts";

/**
 * The field by whose value an event is counted separately. Each of these fields
 * has a closed list of values, which bounds the number of counters.
 */
const LABEL_FIELDS: Partial<Record<EventName, string>> = {
  connectionRefused: "reason",
  taskEnded: "how",
  taskStartRefused: "reason",
  taskOrderUnanswered: "order",
  batchJobRefused: "reason",
  batchJobEnded: "phase",
  batchCallUnanswered: "call",
  batchCallUnavailable: "call",
};

/** The duration field of an event, and the histogram that records it. */
const DURATION_FIELDS: Partial<
  Record<EventName, { field: string; metric: string; help: string }>
> = {
  batchJobEnded: {
    field: "tookMs",
    metric: "sesamethread_job_duration_ms",
    help: "From a job's submission to its end, in milliseconds.",
  },
};

/** Options of a {@link CountedEventLog}. */
export interface CountedEventLogOptions {
  readonly log: EventLog;
  readonly metrics: MetricsRegistry;
}

/** An event log that also counts events. */
export class CountedEventLog implements EventLog {
  readonly #options: CountedEventLogOptions;

  constructor(options: CountedEventLogOptions) {
    this.#options = options;
  }

  emit(name: EventName, fields: EventFields = {}): void {
    const { log, metrics } = this.#options;
    const field = LABEL_FIELDS[name];
    const value = field === undefined ? undefined : fields[field];
    metrics.counter("sesamethread_events_total", {
      help: "Events by name, and for some events by reason.",
      labels: {
        event: name,
        ...(value === undefined ? {} : { reason: String(value) }),
      },
    }).add();
    const duration = DURATION_FIELDS[name];
    const tookMs = duration === undefined ? undefined : fields[duration.field];
    if (duration !== undefined && typeof tookMs === "number") {
      const { metric, help } = duration;
      metrics.histogram(metric, { help }).record(tookMs);
    }
    log.emit(name, fields);
  }
}
