/**
 * Lets a simulation run until all its jobs have ended.
 *
 * @module
 */

import type { FakeRuntime } from "./fake_runtime.ts";

const ROUNDS_LIMIT = 400;
const ROUND_MS = 5_000;
const PERMISSION_MS = 120_000;

/** Runs all jobs to their end on healthy workers; reports those that don't. */
export function settle(runtime: FakeRuntime): void {
  runtime.setStatus("in");
  for (const worker of runtime.workers.values()) {
    worker.staleTasks = [];
    runtime.join(worker.description.workerId);
  }
  for (let round = 0; round < ROUNDS_LIMIT && !isSettled(runtime); round++) {
    runtime.permit(PERMISSION_MS);
    runtime.tick(ROUND_MS);
    runtime.deliverAll();
    runtime.endGang(0, { fails: false });
    runtime.endGang(0, { fails: false });
  }
  for (const jobId of runtime.jobs.keys()) {
    if (!runtime.ended.has(jobId)) {
      const view = runtime.core.jobView(jobId);
      runtime.violations.push(
        `oracle: job ${jobId} never ended: ${view?.phase}, ${view?.waitReason}`,
      );
    }
  }
}

function isSettled(runtime: FakeRuntime): boolean {
  return runtime.ended.size === runtime.jobs.size;
}
