/**
 * Steps of a history in which the network and the clocks mislead the leader, and
 * callers and workers repeat what they said.
 *
 * @module
 */

import type { BatchSimulation } from "./batch_simulation.ts";

/** Takes one random step on a worker; returns a description of it. */
export async function takeNetworkStep(
  simulation: BatchSimulation,
  { worker, cancelled }: { worker: string; cancelled: Set<string> },
): Promise<string> {
  const { random } = simulation;
  switch (random.nextInt(4)) {
    case 0:
      return await refuseConnections(simulation, worker);
    case 1:
      return await stepClock(simulation);
    case 2:
      return await leaveBehindCut(simulation, worker);
    default:
      return await repeatCalls(simulation, cancelled);
  }
}

/** The worker runs on while connections to it are refused. */
async function refuseConnections(
  simulation: BatchSimulation,
  worker: string,
): Promise<string> {
  const { pool, random } = simulation;
  pool.setRefused(worker, true);
  await simulation.advance(random.nextInt(4_000));
  pool.setRefused(worker, false);
  return `refuse ${worker}`;
}

/** The leader's time of day is set forward by up to 1 s, three times at most. */
async function stepClock(simulation: BatchSimulation): Promise<string> {
  const { clock, random } = simulation;
  const stepsMs = Array.from(
    { length: 1 + random.nextInt(3) },
    () => 100 + random.nextInt(900),
  );
  for (const stepMs of stepsMs) {
    clock.aheadMs += stepMs;
    await simulation.advance(random.nextInt(500));
  }
  return `clock ${stepsMs.join(" ")}`;
}

/** The worker reports that it leaves, hears nothing, and ends. */
async function leaveBehindCut(
  simulation: BatchSimulation,
  worker: string,
): Promise<string> {
  const { pool, random } = simulation;
  pool.drain(worker);
  await simulation.advance(random.nextInt(1_000));
  pool.setPartitioned(worker, true);
  void simulation.leave(worker);
  await simulation.advance(random.nextInt(4_000));
  pool.crash(worker);
  pool.setPartitioned(worker, false);
  await simulation.advance(random.nextInt(2_000));
  pool.restart(worker);
  return `leave ${worker}`;
}

/** A job is submitted and cancelled, each several times at once. */
async function repeatCalls(
  simulation: BatchSimulation,
  cancelled: Set<string>,
): Promise<string> {
  const { random, specs } = simulation;
  const known = [...specs.keys()];
  const jobId = known[random.nextInt(Math.max(1, known.length))];
  if (jobId !== undefined) {
    const repeats = 1 + random.nextInt(3);
    for (let repeat = 0; repeat < repeats; repeat++) {
      void simulation.submit(jobId, specs.get(jobId)!);
    }
    if (random.nextInt(2) === 0) {
      cancelled.add(jobId);
      for (let repeat = 0; repeat < repeats; repeat++) {
        void simulation.cancel(jobId);
      }
    }
  }
  await simulation.advance(random.nextInt(300));
  return `repeat ${jobId}`;
}
