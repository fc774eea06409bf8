/**
 * A stand-in backend server, for tests and demos.
 *
 * @module
 */

export {
  type FaultPlan,
  faultPlanSchema,
  NO_FAULTS,
  ServerFault,
} from "./answer_fault.ts";
export { ServiceTimes } from "./service_times.ts";
export {
  type ServerActivity,
  StandinBackendServer,
  type StandinBackendServerOptions,
} from "./standin_backend_server.ts";
