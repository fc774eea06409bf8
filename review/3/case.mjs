/** TWICE: a job whose ID is written with the hexadecimal digits A to F. */

import {
  CouldNotRun,
  HAS_TROUBLE,
  historyOf,
  runCase,
} from "../standins/case.mjs";
import { sleep } from "../standins/deployment.mjs";
import { findOverlaps } from "../standins/overlaps.mjs";

const WORKERS = 3;
const TASK_MS = 3_000;
const WATCHED_MS = 15_000;
const STEPS = [{ count: 1, cpu: 500, memMb: 256, gpu: 1, estimateMs: TASK_MS }];

/** A random ID; each has a letter. */
const JOB_ID = HAS_TROUBLE ? "5C0E7A21D94B36F8" : "5c0e7a21d94b36f8";

await runCase({
  workers: (deployment) =>
    Array.from({ length: WORKERS }, (_, at) => ({
      id: `i-${at}`,
      host: deployment.hostAt(51 + at),
      zone: "windsor",
      taskMs: TASK_MS,
    })),
  play: async ({ client, record, workers }) => {
    await sleep(2_000);
    if (!await client.submit(JOB_ID, STEPS)) {
      throw new CouldNotRun("the job was not accepted");
    }
    const endAtMs = record.nowMs() + WATCHED_MS;
    while (record.nowMs() < endAtMs) {
      await sleep(2_000);
      await client.state(JOB_ID);
    }
    return findOverlaps(historyOf(workers));
  },
});
