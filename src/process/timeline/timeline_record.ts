/**
 * The records of the timeline, their selection and merging.
 *
 * @module
 */

import * as z from "zod";
import { compareTimestamps } from "./hybrid_clock.ts";

/** The schema of a record, as sent between instances. */
export const timelineRecordSchema = z.strictObject({
  wallMs: z.number(),
  counter: z.int().min(0),
  instance: z.string().max(128),
  /** Counts the events of the instance since it was started. */
  sequence: z.int().min(0),
  number: z.int(),
  name: z.string().max(64),
  level: z.enum(["debug", "info", "warn", "error"]),
  fields: z.record(
    z.string(),
    z.union([z.string(), z.number(), z.boolean()]),
  ),
});

/** One event on the timeline. */
export type TimelineRecord = z.infer<typeof timelineRecordSchema>;

/** The schema of a query; absent filters match every record. */
export const timelineQuerySchema = z.strictObject({
  instance: z.string().max(128).optional(),
  jobId: z.string().max(128).optional(),
  requestId: z.string().max(128).optional(),
  /** Only records later than this time. */
  afterMs: z.number().optional(),
  limit: z.int().min(1).max(5_000).default(500),
});

/** Selects records of the timeline. */
export type TimelineQuery = z.infer<typeof timelineQuerySchema>;

/** Whether the record matches the query; ignores the limit. */
export function matchesQuery(
  record: TimelineRecord,
  query: TimelineQuery,
): boolean {
  return matchesFilter(query.instance, record.instance) &&
    matchesFilter(query.jobId, record.fields["jobId"]) &&
    matchesFilter(query.requestId, record.fields["requestId"]) &&
    (query.afterMs === undefined || record.wallMs > query.afterMs);
}

function matchesFilter(filter: string | undefined, value: unknown): boolean {
  return filter === undefined || filter === value;
}

/** Merges records of several instances in causal order; keeps the newest. */
export function mergeRecords(
  recordLists: readonly (readonly TimelineRecord[])[],
  options: { limit: number },
): TimelineRecord[] {
  const merged = recordLists.flat();
  merged.sort((left, right) =>
    compareTimestamps(left, right) ||
    left.instance.localeCompare(right.instance) ||
    left.sequence - right.sequence
  );
  return merged.slice(-options.limit);
}
