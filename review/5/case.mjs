/**
 * DRAIN: orders to one worker are lost for a while, one way only, and it reports
 * meanwhile that it drains.
 */

import { CouldNotRun, HAS_TROUBLE, historyOf, runCase } from
  "../standins/case.mjs";
import { BOUNDS, sleep } from "../standins/deployment.mjs";
import { SilentProxy } from "../standins/silent_proxy.mjs";

const ZONE = "windsor";
const WORKERS = 6;

/** Shorter than the 5.5 s of `node_cut` "servers one_way" in the site file. */
const CUT_MS = 4_500;

const TASK_MS = 3_000;
const STEPS = [{
  count: WORKERS,
  cpu: 500,
  memMb: 256,
  gpu: 1,
  estimateMs: TASK_MS,
}];

let proxy;

await runCase({
  workers: (deployment) =>
    Array.from({ length: WORKERS }, (_, at) => ({
      id: `i-${at}`,
      host: deployment.hostAt(51 + at),
      zone: ZONE,
      taskMs: TASK_MS,
      ...(at === 0
        ? {
          announcedOf: (target) => {
            proxy = new SilentProxy({ host: deployment.hostAt(71), target });
            return proxy.open();
          },
        }
        : {}),
    })),
  play: async ({ client, record, workers }) => {
    const [leaving] = workers;
    await sleep(BOUNDS.contactMs + 1_000);
    if (HAS_TROUBLE) {
      record.note(`link: orders to ${leaving.id} are lost from now on`);
      proxy.silence();
    }
    const cutAtMs = record.nowMs();
    await client.submit("5c0e7a21d94b36f8", STEPS);
    await sleep(200);
    const drainingAtMs = await leaving.drain();
    await sleep(Math.max(0, cutAtMs + CUT_MS - record.nowMs()));
    if (HAS_TROUBLE) {
      record.note(`link: orders to ${leaving.id} arrive again`);
      proxy.heal();
    }
    await sleep(8_000);
    proxy.close();
    const starts = historyOf(workers).filter(({ kind }) => kind === "start");
    if (starts.length < WORKERS) {
      throw new CouldNotRun(`only ${starts.length} tasks started`);
    }
    return starts.filter(({ worker, atMs }) =>
      worker === leaving.id && atMs > drainingAtMs + BOUNDS.drainMs
    ).map(({ task, run, worker, atMs }) =>
      `${task} run ${run} started on ${worker} ${atMs - drainingAtMs} ms ` +
      "after its draining was acknowledged"
    );
  },
});
