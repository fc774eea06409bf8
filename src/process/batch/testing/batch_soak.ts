/**
 * A soak: one pool through round after round of faults, each followed by a
 * calm in which everything must come to rest and nothing may pile up.
 *
 * @module
 */

import { BATCH_TIMING } from "../batch_timing.ts";
import { BatchBed } from "./batch_bed.ts";
import { judgeJobs, takeStep, WORKERS } from "./batch_history.ts";

/** How a soak is set up. */
export interface SoakOptions {
  readonly seed: number;
  readonly rounds: number;
  /** Called after each round. */
  readonly onRound?: (round: SoakRound) => void;
}

/** What stood at the end of a round. */
export interface SoakRound {
  readonly number: number;
  /** Logical time since the soak began, in minutes. */
  readonly atMinutes: number;
  readonly starts: number;
  readonly jobsKept: number;
  readonly violations: readonly string[];
}

/** Steps of one round: about a minute of faults. */
const STEPS = 30;

/** Long enough for every job of a round to be over, and forgotten. */
const CALM_MS = BATCH_TIMING.rememberMs + 120_000;

/** Plays rounds until one breaks a rule or leaves something behind. */
export async function playSoak(options: SoakOptions): Promise<SoakRound> {
  const bed = new BatchBed({ ...options, workers: WORKERS });
  await bed.open();
  const beganMs = bed.clock.nowMs();
  const cancelled = new Set<string>();
  let round: SoakRound | undefined;
  for (let number = 1; number <= options.rounds; number++) {
    for (let step = 0; step < STEPS; step++) {
      const jobNumber = number * STEPS + step;
      await takeStep(bed, { number: jobNumber, cancelled });
    }
    bed.pool.heal();
    await bed.pass(CALM_MS);
    round = {
      number,
      atMinutes: Math.round((bed.clock.nowMs() - beganMs) / 60_000),
      starts: bed.pool.starts,
      jobsKept: bed.state!.jobs.size,
      violations: [
        ...bed.pool.violations,
        ...judgeJobs(bed, cancelled),
        ...judgeRest(bed),
      ],
    };
    options.onRound?.(round);
    if (round.violations.length > 0) {
      break;
    }
  }
  bed.close();
  return round!;
}

/** After a calm nothing is open, and nothing is kept for good. */
function judgeRest(bed: BatchBed): string[] {
  const { jobs, liveJobs, workers } = bed.state!;
  const depths = bed.leader!.session!.depths;
  const amounts: Readonly<Record<string, readonly [number, number]>> = {
    "jobs kept": [jobs.size, 0],
    "live jobs": [liveJobs.size, 0],
    "lives of workers": [workers.size, WORKERS],
    "open runs": [depths.openRuns, 0],
    "uncommitted changes": [depths.uncommitted, 0],
  };
  return Object.entries(amounts).flatMap(([name, [found, wanted]]) =>
    found === wanted ? [] : [`${found} ${name} after a calm, not ${wanted}`]
  );
}
