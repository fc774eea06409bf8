/**
 * The configuration of one instance.
 *
 * @module
 */

export type {
  ConfigurationCommand,
  ConfigurationOutcome,
} from "./configuration_command.ts";
export {
  ConfigurationMachine,
  type ConfigurationMachineOptions,
} from "./configuration_machine.ts";
export {
  ConfigurationService,
  type ConfigurationServiceOptions,
} from "./configuration_service.ts";
export type { ConfigurationSource } from "./configuration_source.ts";
export type {
  ConfigurationLog,
  InstanceLocation,
} from "./removal_confirmer.ts";
