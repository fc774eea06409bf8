/**
 * A step of histories in which a worker starts again under its ID, and is cut off
 * soon after or meanwhile.
 *
 * @module
 */

import type { BatchSimulation } from "./batch_simulation.ts";

/** The share of calls that workers leave unanswered and carry out late. */
const LATE_CALLS = 0.4;

/** How long the worker stays cut off: longer than some leases last. */
const CUT_LIMIT_MS = 14_000;

/**
 * Calls to the workers are late for a moment; then the worker restarts once or
 * twice, with a cut before, between or after, which the leader may not survive.
 */
export async function restartBehindCut(
  simulation: BatchSimulation,
  worker: string,
): Promise<string> {
  const { pool, random } = simulation;
  const lateBefore = pool.faults.lateCalls;
  pool.faults.lateCalls = LATE_CALLS;
  await simulation.advance(random.nextInt(600));
  pool.faults.lateCalls = lateBefore;
  const restarts = 1 + random.nextInt(2);
  const cutAt = random.nextInt(3);
  const isUnannounced = random.nextInt(2) === 0;
  pool.setUnannounced(worker, isUnannounced);
  for (let restart = 0; restart < restarts; restart++) {
    pool.setPartitioned(worker, cutAt === 0 || restart > 0);
    pool.crash(worker);
    await simulation.advance(random.nextInt(1_500));
    pool.restart(worker);
    if (cutAt === 1) {
      await simulation.advance(random.nextInt(400));
    }
    pool.setPartitioned(worker, true);
  }
  if (random.nextInt(3) === 0) {
    await simulation.elect();
  }
  await simulation.advance(random.nextInt(CUT_LIMIT_MS));
  pool.setPartitioned(worker, false);
  pool.setUnannounced(worker, false);
  return `restart ${worker} ${restarts} times, cut ${cutAt}` +
    (isUnannounced ? ", unannounced" : "");
}
