/**
 * Counters, gauges and duration histograms of one instance, rendered as
 * Prometheus text.
 *
 * @module
 */

import int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";

/** Label names and values. Values come from fixed sets, never free text. */
export type MetricLabels = Readonly<Record<string, string>>;

/** A number that only grows. */
export interface Counter {
  add(by?: number): void;
  readonly value: number;
}

/** A distribution of durations. */
export interface DurationHistogram {
  record(durationMs: number): void;
  /** The duration in ms at a percentile from 0 to 100. */
  percentileMs(percentile: number): number;
  readonly count: number;
}

/** The longest recordable duration; longer ones are recorded as this. */
const MAX_DURATION_US = 3_600_000_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

interface MetricFamily {
  readonly kind: "counter" | "gauge" | "summary";
  readonly help: string;
  readonly renderers: Map<string, () => string[]>;
}

/** All metrics of an instance, by name and labels. */
export class MetricsRegistry {
  readonly #families = new Map<string, MetricFamily>();
  readonly #counters = new Map<string, Counter>();
  readonly #histograms = new Map<string, DurationHistogram>();

  /** Returns the counter of this name and labels; creates it if needed. */
  counter(
    name: string,
    options: { help: string; labels?: MetricLabels },
  ): Counter {
    const id = name + renderLabels(options.labels ?? {});
    const existing = this.#counters.get(id);
    if (existing !== undefined) {
      return existing;
    }
    const counter = new PlainCounter();
    this.#counters.set(id, counter);
    this.#family(name, "counter", options.help).renderers.set(
      id,
      () => [`${id} ${counter.value}`],
    );
    return counter;
  }

  /** Adds a gauge; `read` is called on each rendering. */
  gauge(
    name: string,
    options: { help: string; labels?: MetricLabels; read: () => number },
  ): void {
    const id = name + renderLabels(options.labels ?? {});
    const family = this.#family(name, "gauge", options.help);
    family.renderers.set(id, () => [`${id} ${options.read()}`]);
  }

  /** Returns the histogram of this name and labels; creates it if needed. */
  histogram(
    name: string,
    options: { help: string; labels?: MetricLabels },
  ): DurationHistogram {
    const labels = options.labels ?? {};
    const id = name + renderLabels(labels);
    const existing = this.#histograms.get(id);
    if (existing !== undefined) {
      return existing;
    }
    const histogram = new HdrDurationHistogram();
    this.#histograms.set(id, histogram);
    this.#family(name, "summary", options.help).renderers.set(
      id,
      () => renderSummary(name, { labels, histogram }),
    );
    return histogram;
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    const lines: string[] = [];
    for (const [name, family] of this.#families) {
      lines.push(`# HELP ${name} ${family.help}`);
      lines.push(`# TYPE ${name} ${family.kind}`);
      for (const render of family.renderers.values()) {
        lines.push(...render());
      }
    }
    return lines.join("\n") + "\n";
  }

  #family(
    name: string,
    kind: MetricFamily["kind"],
    help: string,
  ): MetricFamily {
    const existing = this.#families.get(name);
    const family = existing ?? { kind, help, renderers: new Map() };
    this.#families.set(name, family);
    return family;
  }
}

class PlainCounter implements Counter {
  #value = 0;

  get value(): number {
    return this.#value;
  }

  add(by = 1): void {
    this.#value += by;
  }
}

class HdrDurationHistogram implements DurationHistogram {
  readonly #histogram = new int32Histogram.default(
    1,
    MAX_DURATION_US,
    SIGNIFICANT_DIGITS,
  );
  #sumMs = 0;

  get count(): number {
    return this.#histogram.totalCount;
  }

  get sumMs(): number {
    return this.#sumMs;
  }

  record(durationMs: number): void {
    const durationUs = Math.round(durationMs * 1_000);
    this.#histogram.recordValue(
      Math.min(Math.max(1, durationUs), MAX_DURATION_US),
    );
    this.#sumMs += durationMs;
  }

  percentileMs(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) / 1_000;
  }
}

function renderSummary(
  name: string,
  options: { labels: MetricLabels; histogram: HdrDurationHistogram },
): string[] {
  const { labels, histogram } = options;
  const quantiles = QUANTILES.map((quantile) => {
    const text = renderLabels({ ...labels, quantile: String(quantile) });
    return `${name}${text} ${histogram.percentileMs(quantile * 100)}`;
  });
  const text = renderLabels(labels);
  return [
    ...quantiles,
    `${name}_sum${text} ${histogram.sumMs}`,
    `${name}_count${text} ${histogram.count}`,
  ];
}

function renderLabels(labels: MetricLabels): string {
  const parts = Object.entries(labels).map(([name, value]) =>
    `${name}="${value.replaceAll(/["\\\n]/g, "_")}"`
  );
  return parts.length === 0 ? "" : `{${parts.join(",")}}`;
}
