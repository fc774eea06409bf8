/**
 * Converts a job's record in the log to the core's own record.
 *
 * @module
 */

import { JobPhase, type JobRecord as CoreJobRecord } from "../core/mod.ts";
import type { AttemptRecord, JobRecord } from "./job_record.ts";

/** The format version of the core's records made here. */
const CORE_RECORD_FORMAT_VERSION = 1;

/** The core's record of the job; an open attempt counts as running. */
export function toCoreRecord(record: JobRecord): CoreJobRecord {
  const { specification, openAttempt, submittedAtMs } = record;
  const startedAtMs = openAttempt?.startedAtMs ?? openAttempt?.intendedAtMs;
  return {
    formatVersion: CORE_RECORD_FORMAT_VERSION,
    specification,
    submittedAtMs,
    phase: openAttempt === undefined ? JobPhase.queued : JobPhase.running,
    attempt: record.attemptsUsed,
    need: openAttempt?.resources ?? specification.resources,
    placements: openAttempt?.placements ?? [],
    attainedAcceleratorMs: record.pastAttempts.reduce(
      (sum, past) => sum + acceleratorMs(past),
      0,
    ),
    failures: record.failures,
    configurationVersion: openAttempt?.configurationVersion ?? 0,
    ...(startedAtMs === undefined ? {} : { startedAtMs }),
  };
}

function acceleratorMs(past: AttemptRecord): number {
  const { startedAtMs, endedAtMs, placements, resources } = past;
  if (startedAtMs === undefined || endedAtMs === undefined) {
    return 0;
  }
  const accelerators = placements.length * resources.accelerators;
  return (endedAtMs - startedAtMs) * Math.max(1, accelerators);
}
