/**
 * One event on the time line.
 *
 * @module
 */

import * as z from "zod";
import { compareStamps } from "./hybrid_clock.ts";

/** The shape of a record, as it travels between instances. */
export const timelineRecordSchema = z.strictObject({
  wallMs: z.number(),
  counter: z.int().min(0),
  instance: z.string().max(128),
  /** Counts the events of one run of the instance. */
  sequence: z.int().min(0),
  number: z.int(),
  name: z.string().max(64),
  level: z.enum(["debug", "info", "warn", "error"]),
  fields: z.record(
    z.string(),
    z.union([z.string(), z.number(), z.boolean()]),
  ),
});

/** One event on the time line. */
export type TimelineRecord = z.infer<typeof timelineRecordSchema>;

/** Which records are wanted; absent fields don't narrow. */
export const timelineQuerySchema = z.strictObject({
  instance: z.string().max(128).optional(),
  jobId: z.string().max(128).optional(),
  requestId: z.string().max(128).optional(),
  /** Only records later than this moment. */
  afterMs: z.number().optional(),
  limit: z.int().min(1).max(5_000).default(500),
});

/** Which records are wanted. */
export type TimelineQuery = z.infer<typeof timelineQuerySchema>;

/** Whether the query asks for the record. */
export function matchesQuery(
  record: TimelineRecord,
  query: TimelineQuery,
): boolean {
  return isWanted(query.instance, record.instance) &&
    isWanted(query.jobId, record.fields["jobId"]) &&
    isWanted(query.requestId, record.fields["requestId"]) &&
    (query.afterMs === undefined || record.wallMs > query.afterMs);
}

function isWanted(wanted: string | undefined, value: unknown): boolean {
  return wanted === undefined || wanted === value;
}

/** Merges the records of several instances: causes before their effects. */
export function mergeRecords(
  parts: readonly (readonly TimelineRecord[])[],
  options: { limit: number },
): TimelineRecord[] {
  const merged = parts.flat();
  merged.sort((left, right) =>
    compareStamps(left, right) ||
    left.instance.localeCompare(right.instance) ||
    left.sequence - right.sequence
  );
  return merged.slice(-options.limit);
}
