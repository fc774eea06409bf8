/**
 * Event logs that write lines and count events.
 *
 * @module
 */

export { EventLineLog, type EventLineLogOptions } from "./event_line_log.ts";
export {
  LineWriter,
  type LineWriterOptions,
  type WriteChunk,
} from "./line_writer.ts";
export { CountedEventLog } from "./counted_event_log.ts";
