/**
 * The format of snapshots of the batch scheduler's replicated state.
 *
 * @module
 */

import type { DataCentreId, JobId } from "../../base/identity.ts";
import type { WorkerRecord } from "./batch_command.ts";
import type { JobRecord } from "./job_record.ts";
import type {
  PoolConfiguration,
  QueueConfiguration,
} from "./pool_configuration.ts";
import type { StoredSpeeds } from "./worker_incarnations.ts";

/** The state as stored in a snapshot. */
export interface BatchSnapshot {
  readonly formatVersion: number;
  readonly epoch: number;
  readonly document: string | undefined;
  readonly configuration: PoolConfiguration | undefined;
  /** Queues that aren't configured any more and have jobs; none if absent. */
  readonly droppedQueues?: readonly QueueConfiguration[];
  readonly dataCentresOut: readonly DataCentreId[];
  /** Absent in snapshots of earlier versions. */
  readonly dataCentreRevision?: number;
  readonly jobs: readonly JobRecord[];
  /** Absent in snapshots of earlier versions. */
  readonly tombstones?: readonly (readonly [JobId, number])[];
  readonly workers: readonly WorkerRecord[];
  /** Absent in snapshots of earlier versions. */
  readonly workerSpeeds?: StoredSpeeds;
}
