/**
 * `GET /metrics`: the metrics of this instance as Prometheus text.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { HttpEndpoint } from "./http_endpoint.ts";
import type { MetricsRegistry } from "./metrics_registry.ts";

const CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

/** Answers with all metrics of the registry. */
export function metricsEndpoint(metrics: MetricsRegistry): HttpEndpoint {
  return {
    method: "GET",
    path: "/metrics",
    bodyLimitBytes: 0,
    handle: () =>
      Promise.resolve(Right({
        status: 200,
        headers: { "content-type": CONTENT_TYPE },
        body: metrics.render(),
      })),
  };
}
