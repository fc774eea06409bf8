/**
 * Log lines of a process.
 *
 * @module
 */

export { EventLineLog, type EventLineLogOptions } from "./event_line_log.ts";
export { LineWriter, type WriteChunk } from "./line_writer.ts";
