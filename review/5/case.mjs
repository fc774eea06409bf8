/**
 * EVAC: a core is suspended while the operator takes a data centre back in, and
 * wakes after the operator has taken it out again.
 */

import {
  CouldNotRun,
  HAS_TROUBLE,
  historyOf,
  runCase,
} from "../standins/case.mjs";
import { BOUNDS, sleep } from "../standins/deployment.mjs";

const ZONE = "london-on";
const OTHER_ZONE = "windsor";
const EVACUATION = `/sesamethread/evacuate/${ZONE}`;

/** Shorter than the 4.0 s of `node_freeze` on a core in the site file. */
const FREEZE_MS = 3_800;

const JOBS_FOR_MS = 16_000;
const JOB_PERIOD_MS = 400;
const STEPS = [{ count: 2, cpu: 500, memMb: 256, gpu: 1, estimateMs: 1_000 }];

const workersIn = (deployment, zone, firstHost) =>
  [0, 1, 2].map((at) => ({
    id: `i-${zone}-${at}`,
    host: deployment.hostAt(firstHost + at),
    zone,
    taskMs: 1_000,
  }));

await runCase({
  workers: (deployment) => [
    ...workersIn(deployment, ZONE, 51),
    ...workersIn(deployment, OTHER_ZONE, 61),
  ],
  play: async ({ deployment, operator, client, record, workers }) => {
    await sleep(BOUNDS.contactMs);
    await operator.order("POST", EVACUATION);
    await sleep(2_000);
    const follower = deployment.coreIds.findIndex((id) =>
      id !== deployment.leaderId()
    );
    const followerId = deployment.coreIds[follower];
    if (HAS_TROUBLE) {
      deployment.signal(followerId, "SIGSTOP");
    }
    const frozenAtMs = record.nowMs();
    await sleep(200);
    await operator.order("DELETE", EVACUATION, { first: follower });
    await sleep(500);
    const other = deployment.coreIds.findIndex((id) => id !== followerId);
    const outAtMs = await operator.order("POST", EVACUATION, { first: other });
    await sleep(Math.max(0, frozenAtMs + FREEZE_MS - record.nowMs()));
    if (HAS_TROUBLE) {
      deployment.signal(followerId, "SIGCONT");
    }
    const calmAtMs = record.nowMs() + BOUNDS.contactMs;
    const endAtMs = record.nowMs() + JOBS_FOR_MS;
    for (let number = 0; record.nowMs() < endAtMs; number++) {
      const jobId = (0x5c0e7a21d94b0000n + BigInt(number)).toString(16);
      await client.submit(jobId, STEPS);
      await sleep(JOB_PERIOD_MS);
    }
    // A core that isn't stable stretches the bound by `outerMs` at most.
    const lateFromMs = Math.max(
      outAtMs + BOUNDS.evacuateMs + BOUNDS.outerMs,
      calmAtMs,
    );
    const starts = historyOf(workers).filter(({ kind }) => kind === "start");
    if (starts.every(({ atMs }) => atMs <= lateFromMs)) {
      throw new CouldNotRun("no task started late enough to be judged");
    }
    const ids = workers.filter(({ zone }) => zone === ZONE).map(({ id }) => id);
    return starts.filter(({ worker, atMs }) =>
      ids.includes(worker) && atMs > lateFromMs
    ).map(({ task, run, worker, atMs }) =>
      `${task} run ${run} started on ${worker} in ${ZONE} ` +
      `${atMs - outAtMs} ms after the evacuation was acknowledged`
    );
  },
});
