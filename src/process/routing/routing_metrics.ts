/**
 * The metrics of request routing.
 *
 * @module
 */

import type { MetricsRegistry } from "../http/mod.ts";
import type { AnswerFault } from "./answer_faults.ts";

/** Counts and times what happens to requests. */
export class RoutingMetrics {
  readonly #registry: MetricsRegistry;

  constructor(options: { registry: MetricsRegistry }) {
    this.#registry = options.registry;
  }

  countEnd(requestClass: string, outcome: string): void {
    this.#registry.counter("sesamethread_requests_total", {
      help: "Requests by class and how they ended.",
      labels: { class: requestClass, outcome },
    }).add();
  }

  recordCompletion(requestClass: string, durationMs: number): void {
    this.#registry.histogram("sesamethread_request_milliseconds", {
      help: "Time from a request's arrival to its end.",
      labels: { class: requestClass },
    }).record(durationMs);
  }

  countAttempt(tryNumber: number): void {
    this.#registry.counter("sesamethread_attempts_total", {
      help: "Requests sent to backend servers, first tries and retries.",
      labels: { try: tryNumber === 1 ? "first" : "retry" },
    }).add();
  }

  countFault(fault: AnswerFault): void {
    this.#registry.counter("sesamethread_answer_faults_total", {
      help: "Answers of backend servers that were kept from callers.",
      labels: { fault },
    }).add();
  }

  countForward(end: string): void {
    this.#registry.counter("sesamethread_forwards_total", {
      help: "Requests given to another data centre, by how that ended.",
      labels: { end },
    }).add();
  }

  showGauge(name: string, options: { help: string; read: () => number }): void {
    this.#registry.gauge(name, options);
  }
}
