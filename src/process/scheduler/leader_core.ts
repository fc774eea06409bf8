/**
 * Adapts the scheduling core to the interface that the runtime uses.
 *
 * @module
 */

import type { DataCentreId, JobId } from "../../base/identity.ts";
import {
  type JobRecord,
  type RestoreOptions,
  SchedulerCore,
  type SchedulerDecision,
  type SchedulerEvent,
  type WaitReason,
} from "./core/mod.ts";
import type { DecisionCore } from "./runtime/mod.ts";

/** A {@link SchedulerCore} behind the runtime's interface. */
export class LeaderCore implements DecisionCore {
  readonly #core: SchedulerCore;

  constructor(options: { dataCentre: DataCentreId }) {
    this.#core = new SchedulerCore({ dataCentre: options.dataCentre });
  }

  restore(records: readonly JobRecord[], options: RestoreOptions): void {
    this.#core.restore(records, options);
  }

  handle(event: SchedulerEvent): readonly SchedulerDecision[] {
    return this.#core.handle(event);
  }

  waitReason(jobId: JobId): WaitReason | undefined {
    return this.#core.jobView(jobId)?.waitReason;
  }
}
