/**
 * The timeline of events across all instances.
 *
 * @module
 */

export {
  compareTimestamps,
  HybridClock,
  type HybridTimestamp,
} from "./hybrid_clock.ts";
export { Timeline, type TimelineOptions } from "./timeline.ts";
export {
  matchesQuery,
  mergeRecords,
  type TimelineQuery,
  timelineQuerySchema,
  type TimelineRecord,
} from "./timeline_record.ts";
export {
  type MergedTimeline,
  TimelineService,
  type TimelineServiceOptions,
} from "./timeline_service.ts";
