/**
 * The whole ledger as bytes.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { Right } from "purify-ts/Either";
import * as z from "zod";
import { failure, type Result } from "../../../base/sesame_error.ts";
import { jobRecordSchema } from "./job_record.ts";
import { migrate, type Migration } from "./migration.ts";

/** The version of the snapshot's own format. */
export const JOB_SNAPSHOT_FORMAT_VERSION = 1;

const SNAPSHOT_MIGRATIONS: readonly Migration[] = [];

const jobSnapshotSchema = z.strictObject({
  formatVersion: z.literal(JOB_SNAPSHOT_FORMAT_VERSION),
  highestTerm: z.int().min(0),
  records: z.array(jobRecordSchema),
  endedJobIds: z.array(z.string()),
});

/** What a snapshot holds. */
export type JobSnapshot = z.infer<typeof jobSnapshotSchema>;

/** Writes a snapshot of the current format. */
export function encodeJobSnapshot(
  content: Omit<JobSnapshot, "formatVersion">,
): Uint8Array {
  const snapshot: JobSnapshot = {
    formatVersion: JOB_SNAPSHOT_FORMAT_VERSION,
    ...content,
  };
  return Buffer.from(JSON.stringify(snapshot));
}

/** Reads a snapshot of this or an earlier format. */
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
    return failure("malformed", { detail: "a snapshot that isn't JSON" });
  }
}
