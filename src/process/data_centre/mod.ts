/**
 * The replicated log of a data centre and the components that share it.
 *
 * @module
 */

export { PartLog, type PartLogOptions } from "./component_log.ts";
export { type PartCommand, SharedMachine } from "./shared_machine.ts";
