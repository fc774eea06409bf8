/**
 * The HTTP server of an instance, its metrics and an HTTP client.
 *
 * @module
 */

export { ByteBudget } from "./byte_budget.ts";
export { guardConnections } from "./connection_guard.ts";
export { ConnectionRefusals, RefusalReason } from "./connection_refusals.ts";
export { errorAnswer, errorBody } from "./error_answer.ts";
export { GuardedConnection } from "./guarded_connection.ts";
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
export { RequestMemory } from "./request_memory.ts";
export { TurnQueue } from "./turn_queue.ts";
export { CallUnsentError, HttpClient } from "./http_client.ts";
