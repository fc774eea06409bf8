/**
 * The scheduling core of a new leader. The runtime tells it, before the first
 * tick, everything that it found out; this hands the whole over at once, so
 * that the core starts nothing on room that it will only then learn is taken.
 *
 * @module
 */

import type { DataCentreId, JobId } from "../../base/identity.ts";
import type {
  GangStarted,
  JobSubmitted,
  SchedulerEvent,
} from "./core/scheduler_event.ts";
import {
  JobPhase,
  type JobRecord,
  SchedulerCore,
  type SchedulerDecision,
  type WaitReason,
} from "./core/mod.ts";
import type { DecisionCore } from "./runtime/mod.ts";

/** The version of the records that are handed over. */
const RECORD_FORMAT_VERSION = 1;

/** A core that takes over whole and then decides as usual. */
export class LeaderCore implements DecisionCore {
  #core: SchedulerCore;
  /** What came before the first tick; undefined once it was handed over. */
  #early: SchedulerEvent[] | undefined = [];

  constructor(options: { dataCentre: DataCentreId }) {
    this.#core = new SchedulerCore({ dataCentre: options.dataCentre });
  }

  handle(event: SchedulerEvent): readonly SchedulerDecision[] {
    const early = this.#early;
    if (early === undefined) {
      return this.#core.handle(event);
    }
    early.push(event);
    if (event.kind !== "clockTicked") {
      return [];
    }
    this.#early = undefined;
    return this.#takeOver(early, event.atMs);
  }

  waitReason(jobId: JobId): WaitReason | undefined {
    return this.#core.jobView(jobId)?.waitReason;
  }

  #takeOver(
    early: readonly SchedulerEvent[],
    atMs: number,
  ): SchedulerDecision[] {
    const decisions: SchedulerDecision[] = [];
    const feed = (event: SchedulerEvent): void => {
      decisions.push(...this.#core.handle(event));
    };
    early.filter(isConfiguration).forEach(feed);
    // The runtime has waited out all silent workers before the first tick.
    this.#core.restore(recordsOf(early), { atMs, recoverUntilMs: atMs });
    early.filter(isNews).forEach(feed);
    return decisions;
  }
}

function isConfiguration(event: SchedulerEvent): boolean {
  return event.kind === "configurationChanged";
}

/** Whether the event says more than the records do. */
function isNews(event: SchedulerEvent): boolean {
  return event.kind !== "configurationChanged" &&
    event.kind !== "jobSubmitted" && event.kind !== "gangStarted";
}

function recordsOf(early: readonly SchedulerEvent[]): JobRecord[] {
  const started = new Map<JobId, GangStarted>();
  const submitted = new Map<JobId, JobSubmitted>();
  for (const event of early) {
    if (event.kind === "gangStarted") {
      started.set(event.jobId, event);
    } else if (event.kind === "jobSubmitted") {
      submitted.set(event.job.jobId, event);
    }
  }
  return [...submitted.values()].map((event) =>
    recordOf(event, started.get(event.job.jobId))
  );
}

function recordOf(
  { job, attemptsUsed, atMs }: JobSubmitted,
  started: GangStarted | undefined,
): JobRecord {
  return {
    formatVersion: RECORD_FORMAT_VERSION,
    specification: job,
    submittedAtMs: atMs,
    phase: started === undefined ? JobPhase.queued : JobPhase.running,
    attempt: started?.attempt ?? attemptsUsed ?? 0,
    need: job.resources,
    placements: [],
    ...(started === undefined ? {} : { startedAtMs: started.atMs }),
    attainedAcceleratorMs: 0,
    failures: 0,
    configurationVersion: 0,
  };
}
