/**
 * HTTP endpoints for jobs and workers.
 *
 * @module
 */

export { jobEndpoints, type JobEndpointsOptions } from "./job_endpoints.ts";
export {
  workerEndpoints,
  type WorkerEndpointsOptions,
} from "./worker_endpoints.ts";
