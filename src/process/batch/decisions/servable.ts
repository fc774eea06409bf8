/**
 * Finds jobs that no worker of their service could ever serve.
 *
 * Load condition: jobs that are larger than the pool. Such a job would wait for
 * ever and hold a place that other callers are refused for.
 *
 * @module
 */

import type { WorkerRecord } from "../batch_command.ts";
import type { JobSpec, StepSpec, TaskDemand } from "../job_spec.ts";
import { countFitting, isEligible } from "./pool_view.ts";

/** The workers of one service, in service or not, that a leader has seen. */
export interface PoolEvidence {
  /**
   * The workers, each with the largest capacity that it announced. Workers that
   * are cut off or gone are among them: they may come back.
   */
  readonly workers: readonly WorkerRecord[];
  /**
   * Whether these are enough to conclude that others have no more. Only asked
   * about a job that seems impossible, as the answer may take a look at all jobs.
   */
  readonly isSufficient: () => boolean;
}

/**
 * Why no worker, or not all workers together, could hold a step of the job;
 * undefined if they could, or if too little is known of the workers.
 */
export function findUnservable(
  spec: JobSpec,
  evidence: PoolEvidence,
): string | undefined {
  const { workers } = evidence;
  if (workers.length === 0) {
    return undefined;
  }
  for (const [position, step] of spec.steps.entries()) {
    const fault = findStepFault(step, workers);
    if (fault !== undefined) {
      return evidence.isSufficient() ? `step ${position}: ${fault}` : undefined;
    }
  }
  return undefined;
}

function findStepFault(
  step: StepSpec,
  workers: readonly WorkerRecord[],
): string | undefined {
  const { demand, tasksPerWorkerLimit = Infinity, taskCount } = step;
  const eligible = workers.filter((worker) => isEligible(step, worker));
  if (eligible.length === 0) {
    return `none of ${workers.length} workers has the required label`;
  }
  let fitting = 0;
  for (const { capacity } of eligible) {
    const limit = Math.min(taskCount, tasksPerWorkerLimit);
    fitting += countFitting(demand, capacity, limit);
  }
  if (fitting === 0) {
    const largest = eligible.map(({ capacity }) => capacity)
      .reduce((a, b) => shortfall(demand, b) < shortfall(demand, a) ? b : a);
    return `a task needs ${describe(demand)}, ` +
      `and the largest worker has ${describe(largest)}`;
  }
  return step.isGang && fitting < taskCount
    ? `a gang of ${taskCount} tasks, and all workers hold ${fitting} of them`
    : undefined;
}

/** By which factor a demand exceeds the capacity in what lacks most. */
function shortfall(demand: TaskDemand, capacity: TaskDemand): number {
  const ratio = (wanted: number, has: number) =>
    wanted === 0 ? 0 : wanted / has;
  return Math.max(
    ratio(demand.cpuMilli, capacity.cpuMilli),
    ratio(demand.memoryMb, capacity.memoryMb),
    ratio(demand.accelerators, capacity.accelerators),
  );
}

function describe(
  { cpuMilli, memoryMb, accelerators }: TaskDemand,
): string {
  return `${cpuMilli} mCPU, ${memoryMb} MB, ${accelerators} accelerators`;
}
