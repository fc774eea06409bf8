// A busy worker refuses all starts: the jobs that wait for it aren't counted as
// pending. See REPORT-2.md.

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BOUNDS, configuration, delay, newJobId, now, route, runCase, TROUBLE,
} from "./kit.mjs";

const PREFIX = "/sweep/";
/** `srv_grey` of the site file: share 0.085 of the workers for 6.5 s, x 1. */
const WORKERS = 12;
const GREY_MS = 6500;
const JOBS = 6;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const started = new Set();
  const onEvent = ({ what, task }) => {
    if (what === "start") {
      started.add(task.slice(0, 16));
    }
  };
  await deployment.open({ cores: 3, doors: 2 });
  await deployment.configure(configuration(1, [route("r-sweep", PREFIX, 2)]));
  for (let at = 0; at < WORKERS; at++) {
    await deployment.addWorker({ onEvent });
  }
  await deployment.settle(PREFIX);
  await delay(2000);

  const [busy] = deployment.workers;
  const greyAtMs = now();
  if (TROUBLE) {
    busy.unwellStatus = 503;
    record.write("worker is busy", { worker: busy.options.id });
  }
  // The jobs need a label that only this worker has: that of its rack.
  const accepted = new Map();
  for (let at = 0; at < JOBS; at++) {
    const id = newJobId();
    const isAccepted = await deployment.submit(PREFIX + id, {
      spec: JSON.stringify({ ms: 1000 }),
      steps: [{
        count: 1, cpu: 1000, memMb: 1000, gpu: 1, estimateMs: 1000,
        requires: busy.options.rack,
      }],
    });
    if (isAccepted) {
      accepted.set(id, now());
    }
  }
  const broken = [];
  const { visible_ms } = BOUNDS;
  for (let round = 0; now() < greyAtMs + 20_000; round++) {
    if (now() >= greyAtMs + GREY_MS && busy.unwellStatus !== undefined) {
      busy.unwellStatus = undefined;
      record.write("worker is well");
    }
    const askedAtMs = now();
    const due = [...accepted].filter(([id, atMs]) =>
      askedAtMs >= atMs + visible_ms + 2000 && !started.has(id));
    const answer = await deployment.client(
      deployment.doors[round % 2], "GET", PREFIX, { isQuiet: true });
    const pending = answer.json?.pending;
    // Those that began while this was asked don't count.
    const waiting = due.filter(([id]) => !started.has(id)).length;
    record.write("pending", { status: answer.status, pending, waiting });
    if (answer.status === 200 && pending < waiting / 2) {
      broken.push({ pending, waiting });
    }
    await delay(250);
  }
  const [first] = broken;
  return first === undefined
    ? undefined
    : `MIXED: ${broken.length} times pending was under half of the jobs that waited, ` +
      `such as ${first.pending} for ${first.waiting}`;
});
