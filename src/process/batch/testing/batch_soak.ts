/**
 * A soak test: one pool goes through rounds of faults. After each there is a
 * quiet period, in which every job has to end and be removed.
 *
 * @module
 */

import { BATCH_TIMING } from "../batch_timing.ts";
import { BatchSimulation } from "./batch_simulation.ts";
import { checkJobs, takeStep, WORKERS } from "./batch_history.ts";

/** Options of a soak test. */
export interface SoakOptions {
  readonly seed: number;
  readonly rounds: number;
  /** Called after each round. */
  readonly onRound?: (round: SoakRound) => void;
}

/** The totals at the end of a round. */
export interface SoakRound {
  readonly number: number;
  /** Simulated time since the start, in minutes. */
  readonly atMinutes: number;
  readonly starts: number;
  readonly jobsKept: number;
  readonly violations: readonly string[];
}

/** Steps of one round: about a minute of faults. */
const STEPS = 30;

/** Long enough for every job of a round to end and be removed. */
const QUIET_PERIOD_MS = BATCH_TIMING.endedJobRetentionMs + 120_000;

/** Runs rounds until one has violations; returns the last one. */
export async function runSoak(options: SoakOptions): Promise<SoakRound> {
  const simulation = new BatchSimulation({ ...options, workers: WORKERS });
  await simulation.open();
  const beganMs = simulation.clock.nowMs();
  const cancelled = new Set<string>();
  let round: SoakRound | undefined;
  for (let number = 1; number <= options.rounds; number++) {
    for (let step = 0; step < STEPS; step++) {
      const jobNumber = number * STEPS + step;
      await takeStep(simulation, { number: jobNumber, cancelled });
    }
    simulation.pool.heal();
    await simulation.advance(QUIET_PERIOD_MS);
    round = {
      number,
      atMinutes: Math.round((simulation.clock.nowMs() - beganMs) / 60_000),
      starts: simulation.pool.starts,
      jobsKept: simulation.state!.jobs.size,
      violations: [
        ...simulation.pool.violations,
        ...checkJobs(simulation, cancelled),
        ...checkIdle(simulation),
      ],
    };
    options.onRound?.(round);
    if (round.violations.length > 0) {
      break;
    }
  }
  simulation.close();
  return round!;
}

/** Checks that nothing is left open or stored after the quiet period. */
function checkIdle(simulation: BatchSimulation): string[] {
  const { jobs, liveJobs, workers } = simulation.state!;
  const depths = simulation.leader!.session!.depths;
  const amounts: Readonly<Record<string, readonly [number, number]>> = {
    "jobs kept": [jobs.size, 0],
    "live jobs": [liveJobs.size, 0],
    "worker incarnations": [workers.size, WORKERS],
    "open runs": [depths.openRuns, 0],
    "uncommitted changes": [depths.uncommitted, 0],
  };
  return Object.entries(amounts).flatMap(([name, [found, wanted]]) =>
    found === wanted ? [] : [`${found} ${name} when idle, not ${wanted}`]
  );
}
