/**
 * The HTTP front of an instance.
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
  HttpFront,
  type HttpFrontOptions,
} from "./http_front.ts";
export { DEFAULT_HTTP_LIMITS, type HttpLimits } from "./http_limits.ts";
export { metricsEndpoint } from "./metrics_endpoint.ts";
export {
  type Counter,
  type DurationHistogram,
  type MetricLabels,
  MetricsRegistry,
} from "./metrics_registry.ts";
export { HttpCaller } from "./http_caller.ts";
