/**
 * TWICE: one worker is cut off, its connections reset and new ones refused, and
 * runs on under its lease.
 */

import {
  CouldNotRun,
  HAS_TROUBLE,
  historyOf,
  runCase,
} from "../standins/case.mjs";
import { BOUNDS, sleep } from "../standins/deployment.mjs";
import { findOverlaps } from "../standins/overlaps.mjs";
import { RefusingProxy } from "../standins/refusing_proxy.mjs";

const WORKERS = 6;
const TASKS = 4;

/** Shorter than the 5 s that `srv_cut` lasts by default. */
const CUT_MS = 4_800;

const TASK_MS = 8_000;
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
        const host = deployment.hostAt(71 + at);
        const proxy = new RefusingProxy({ host, target });
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
    const cutId = begun[0].worker;
    const cutWorker = workers.find(({ id }) => id === cutId);
    if (HAS_TROUBLE) {
      record.note(`link: connections to ${cutId} are reset and refused`);
      proxies.get(cutId).refuse();
      cutWorker.isCutOff = true;
    }
    await sleep(CUT_MS);
    if (HAS_TROUBLE) {
      record.note(`link: connections to ${cutId} are accepted again`);
      await proxies.get(cutId).open();
      cutWorker.isCutOff = false;
    }
    await sleep(10_000);
    proxies.forEach((proxy) => proxy.close());
    return findOverlaps(historyOf(workers));
  },
});
