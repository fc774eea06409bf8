/**
 * Brings a world to rest, and notes what never came to its end.
 *
 * @module
 */

import type { FakeExecutor } from "./fake_executor.ts";

const ROUNDS_LIMIT = 400;
const ROUND_MS = 5_000;
const PERMISSION_MS = 120_000;

/** Lets all work come to its end on healthy workers. */
export function settle(world: FakeExecutor): void {
  world.setStatus("in");
  for (const worker of world.workers.values()) {
    worker.zombies = [];
    world.join(worker.description.workerId);
  }
  for (let round = 0; round < ROUNDS_LIMIT && !isSettled(world); round++) {
    world.permit(PERMISSION_MS);
    world.tick(ROUND_MS);
    world.deliverAll();
    world.endGang(0, { fails: false });
    world.endGang(0, { fails: false });
  }
  for (const jobId of world.jobs.keys()) {
    if (!world.ended.has(jobId)) {
      const view = world.core.jobView(jobId);
      world.broken.push(
        `oracle: job ${jobId} never ended, ${view?.phase} ${view?.waitReason}`,
      );
    }
  }
}

function isSettled(world: FakeExecutor): boolean {
  return world.ended.size === world.jobs.size;
}
