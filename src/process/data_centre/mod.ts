/**
 * The replicated log of a data centre and the components that share it.
 *
 * @module
 */

export { ComponentLog, type ComponentLogOptions } from "./component_log.ts";
export { type ComponentCommand, SharedMachine } from "./shared_machine.ts";
