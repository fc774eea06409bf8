/**
 * Encodes and decodes snapshots of the job ledger.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { Right } from "purify-ts/Either";
import * as z from "zod";
import { failure, type Result } from "../../../base/sesame_error.ts";
import { jobRecordSchema } from "./job_record.ts";
import { migrate, type Migration } from "./migration.ts";

/** The format version of snapshots. */
export const JOB_SNAPSHOT_FORMAT_VERSION = 1;

const SNAPSHOT_MIGRATIONS: readonly Migration[] = [];

const jobSnapshotSchema = z.strictObject({
  formatVersion: z.literal(JOB_SNAPSHOT_FORMAT_VERSION),
  highestTerm: z.int().min(0),
  records: z.array(jobRecordSchema),
  endedJobIds: z.array(z.string()),
});

/** The content of a snapshot. */
export type JobSnapshot = z.infer<typeof jobSnapshotSchema>;

/** Encodes a snapshot in the current format. */
export function encodeJobSnapshot(
  content: Omit<JobSnapshot, "formatVersion">,
): Uint8Array {
  const snapshot: JobSnapshot = {
    formatVersion: JOB_SNAPSHOT_FORMAT_VERSION,
    ...content,
  };
  return Buffer.from(JSON.stringify(snapshot));
}

/** Decodes a snapshot of this or an earlier format; else `malformed`. */
export function decodeJobSnapshot(
  snapshot: Uint8Array,
): Result<JobSnapshot> {
  try {
    const raw: unknown = JSON.parse(Buffer.from(snapshot).toString("utf8"));
    return migrate(raw, {
      migrations: SNAPSHOT_MIGRATIONS,
      currentVersion: JOB_SNAPSHOT_FORMAT_VERSION,
    }).chain((current) => {
      const parsed = jobSnapshotSchema.safeParse(current);
      return parsed.success
        ? Right(parsed.data)
        : failure("malformed", { detail: z.prettifyError(parsed.error) });
    });
  } catch {
    return failure("malformed", { detail: "the snapshot isn't valid JSON" });
  }
}
