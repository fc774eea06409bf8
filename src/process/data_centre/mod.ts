/**
 * The one replicated group of each data centre and the parts that share it.
 *
 * @module
 */

export { PartLog, type PartLogOptions } from "./part_log.ts";
export { type PartCommand, SharedMachine } from "./shared_machine.ts";
