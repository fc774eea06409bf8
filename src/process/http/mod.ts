/**
 * The HTTP server of an instance, its metrics and an HTTP client.
 *
 * @module
 */

export { ByteBudget } from "./byte_budget.ts";
export { errorAnswer, errorBody } from "./error_answer.ts";
export { Readiness } from "./health_endpoint.ts";
export {
  type HttpAnswer,
  type HttpCall,
  type HttpCallHead,
  type HttpEndpoint,
  jsonAnswer,
} from "./http_endpoint.ts";
export {
  type HttpCloseOptions,
  HttpServer,
  type HttpServerOptions,
} from "./http_server.ts";
export { DEFAULT_HTTP_LIMITS, type HttpLimits } from "./http_limits.ts";
export { metricsEndpoint } from "./metrics_endpoint.ts";
export {
  type Counter,
  type DurationHistogram,
  type MetricLabels,
  MetricsRegistry,
} from "./metrics_registry.ts";
export { CallUnsentError, HttpClient } from "./http_client.ts";
