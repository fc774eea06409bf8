/**
 * A stand-in for backend servers.
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
  type ServerTruth,
  StandinBackendServer,
  type StandinBackendServerOptions,
} from "./standin_backend_server.ts";
