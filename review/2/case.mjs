/**
 * TWICE: more than 500 tasks end `done` on a worker while it is cut off, for
 * less time than its lease lasts.
 */

import {
  CouldNotRun,
  HAS_TROUBLE,
  historyOf,
  runCase,
} from "../standins/case.mjs";
import { BOUNDS, sleep } from "../standins/deployment.mjs";
import { findRepeats } from "../standins/overlaps.mjs";
import { SilentProxy } from "../standins/silent_proxy.mjs";

const WORKERS = 4;

/** All fit on one worker; the scheduler fills one before the next. */
const TASKS = 700;

const TASK_MS = 4_000;
const STEPS = [{ count: TASKS, cpu: 40, memMb: 16, estimateMs: TASK_MS }];
const CAPACITY = { cpu: 32_000, memMb: 65_536, gpu: 0 };
const ROOM = 800;

/** Shorter than the 6.0 s of `node_cut` "servers" in the site file. */
const CUT_MS = 3_500;

const START_LIMIT_MS = 3_000;

const proxies = new Map();

await runCase({
  workers: (deployment) =>
    Array.from({ length: WORKERS }, (_, at) => ({
      id: `i-${at}`,
      host: deployment.hostAt(51 + at),
      zone: "windsor",
      taskMs: TASK_MS,
      capacity: CAPACITY,
      room: ROOM,
      announcedOf: (target) => {
        const host = deployment.hostAt(71 + at);
        const proxy = new SilentProxy({ host, target });
        proxies.set(`i-${at}`, proxy);
        return proxy.open();
      },
    })),
  play: async ({ client, record, workers }) => {
    await sleep(BOUNDS.contactMs);
    await client.submit("5c0e7a21d94b36f8", STEPS);
    const startedByMs = record.nowMs() + START_LIMIT_MS;
    while (
      historyOf(workers).length < TASKS && record.nowMs() < startedByMs
    ) {
      await sleep(20);
    }
    const cutWorker = workers.find(({ history }) => history.length === TASKS);
    if (cutWorker === undefined) {
      throw new CouldNotRun("the tasks did not all start on one worker");
    }
    await sleep(500);
    if (HAS_TROUBLE) {
      record.note(`link: ${cutWorker.id} is cut off`);
      proxies.get(cutWorker.id).silence();
      cutWorker.isCutOff = true;
    }
    await sleep(CUT_MS);
    if (HAS_TROUBLE) {
      record.note(`link: ${cutWorker.id} is connected again`);
      proxies.get(cutWorker.id).heal();
      cutWorker.isCutOff = false;
    }
    await sleep(12_000);
    await client.state("5c0e7a21d94b36f8");
    proxies.forEach((proxy) => proxy.close());
    if (workers.some(({ lapsesAtMs }) => lapsesAtMs.length > 0)) {
      throw new CouldNotRun("a lease lapsed, which excuses the scheduler");
    }
    const acknowledgedEnds = new Map(
      workers.map(({ id, acknowledgedEnd }) => [id, acknowledgedEnd]),
    );
    return findRepeats(historyOf(workers), acknowledgedEnds);
  },
});
