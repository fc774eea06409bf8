/**
 * TWICE: a worker leaves, and the acknowledgement of that is lost on a link that
 * is cut one way.
 */

import {
  CouldNotRun,
  HAS_TROUBLE,
  historyOf,
  runCase,
} from "../standins/case.mjs";
import { BOUNDS, sleep } from "../standins/deployment.mjs";
import { findOverlaps } from "../standins/overlaps.mjs";
import { SilentProxy } from "../standins/silent_proxy.mjs";

const WORKERS = 6;
const TASKS = 4;

/** Shorter than the 5 s that `srv_cut` lasts by default. */
const CUT_MS = 4_800;

const TASK_MS = 11_000;
const STEPS = [{
  count: TASKS,
  cpu: 500,
  memMb: 256,
  gpu: 1,
  estimateMs: TASK_MS,
}];

const proxies = new Map();

await runCase({
  workers: (deployment) =>
    Array.from({ length: WORKERS }, (_, at) => ({
      id: `i-${at}`,
      host: deployment.hostAt(51 + at),
      zone: "windsor",
      taskMs: TASK_MS,
      announcedOf: (target) => {
        const proxy = new SilentProxy({
          host: deployment.hostAt(71 + at),
          target,
        });
        proxies.set(`i-${at}`, proxy);
        return proxy.open();
      },
    })),
  play: async ({ client, record, workers }) => {
    await sleep(BOUNDS.contactMs);
    await client.submit("5c0e7a21d94b36f8", STEPS);
    await sleep(2_000);
    const begun = historyOf(workers);
    if (begun.length !== TASKS) {
      throw new CouldNotRun(`${begun.length} tasks started, not ${TASKS}`);
    }
    const leavingId = begun[0].worker;
    const leaving = workers.find(({ id }) => id === leavingId);
    await leaving.drain();
    await sleep(BOUNDS.drainMs + 500);
    if (HAS_TROUBLE) {
      record.note(`link: nothing gets to ${leavingId}`);
      proxies.get(leavingId).silence();
      leaving.isDeaf = true;
    }
    const cutAtMs = record.nowMs();
    await leaving.leave();
    await sleep(cutAtMs + CUT_MS - record.nowMs());
    record.note(`link: whole again`);
    await sleep(12_000);
    proxies.forEach((proxy) => proxy.close());
    return findOverlaps(historyOf(workers));
  },
});
