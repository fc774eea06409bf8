/**
 * The metrics of request routing.
 *
 * @module
 */

import type {
  Counter,
  DurationHistogram,
  MetricsRegistry,
} from "../http/mod.ts";
import type { AnswerFault } from "./answer_faults.ts";

/** Counts and times what happens to requests. */
export class RoutingMetrics {
  readonly #registry: MetricsRegistry;
  /** Cached by labels, like those below, since rendering labels is slow. */
  readonly #outcomes = new Map<string, Counter>();
  readonly #completions = new Map<string, DurationHistogram>();
  readonly #attempts = new Map<string, Counter>();

  constructor(options: { registry: MetricsRegistry }) {
    this.#registry = options.registry;
  }

  countOutcome(requestClass: string, outcome: string): void {
    memoized(
      this.#outcomes,
      `${requestClass} ${outcome}`,
      () =>
        this.#registry.counter("sesamethread_requests_total", {
          help: "Requests by class and outcome.",
          labels: { class: requestClass, outcome },
        }),
    ).add();
  }

  recordCompletion(requestClass: string, durationMs: number): void {
    memoized(
      this.#completions,
      requestClass,
      () =>
        this.#registry.histogram("sesamethread_request_milliseconds", {
          help: "Time from a request's arrival to its end.",
          labels: { class: requestClass },
        }),
    ).record(durationMs);
  }

  countAttempt(tryNumber: number): void {
    const kind = tryNumber === 1 ? "first" : "retry";
    memoized(
      this.#attempts,
      kind,
      () =>
        this.#registry.counter("sesamethread_attempts_total", {
          help: "Requests sent to backend servers, first tries and retries.",
          labels: { try: kind },
        }),
    ).add();
  }

  countFault(fault: AnswerFault): void {
    this.#registry.counter("sesamethread_answer_faults_total", {
      help: "Answers of backend servers that were withheld from callers.",
      labels: { fault },
    }).add();
  }

  countForward(end: string): void {
    this.#registry.counter("sesamethread_forwards_total", {
      help: "Requests forwarded to another data centre, by result.",
      labels: { end },
    }).add();
  }

  registerGauge(
    name: string,
    options: { help: string; read: () => number },
  ): void {
    this.#registry.gauge(name, options);
  }
}

function memoized<T>(cache: Map<string, T>, key: string, make: () => T): T {
  const found = cache.get(key) ?? make();
  cache.set(key, found);
  return found;
}
