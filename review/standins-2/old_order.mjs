// An order to put a data centre back in service takes effect after a newer one
// to take it out was acknowledged: the core that got it stood still. See
// REPORT-2.md.

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BOUNDS, configuration, delay, newJobId, now, route, runCase, TROUBLE,
} from "./kit.mjs";

const PREFIX = "/blend/";
const ZONE = "kalyani";
/** `node_freeze` of the site file: one core, 3.5 s at most. */
const FREEZE_MS = 2000;
const TRIES = TROUBLE ? 7 : 3;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const started = new Map();
  const onEvent = ({ what, task, atMs, worker }) => {
    if (what === "start") {
      started.set(task.slice(0, 16), { atMs, worker });
    }
  };
  await deployment.open({ cores: 3, doors: 2, oneWayMs: Number(process.env.ONE_WAY_MS ?? 0) });
  await deployment.configure(configuration(1, [route("r-blend", PREFIX, 1)]));
  // The first worker is the one in the zone.
  for (let at = 0; at < 3; at++) {
    await deployment.addWorker({ onEvent });
  }
  await deployment.settle(PREFIX);
  await delay(1500);

  const broken = [];
  let tries = 0;
  for (; tries < TRIES && broken.length === 0; tries++) {
    const frozen = deployment.cores[tries % deployment.cores.length];
    const others = deployment.cores.filter((core) => core !== frozen);
    await deployment.evacuate("POST", ZONE, [...others, frozen]);
    const frozenAtMs = now();
    if (TROUBLE) {
      frozen.child.kill("SIGSTOP");
      record.write("frozen", { core: frozen.name });
      setTimeout(() => {
        frozen.child.kill("SIGCONT");
        record.write("thawed", { core: frozen.name });
      }, FREEZE_MS);
    }
    // The operator turns to another core after 1 s, and changes its mind then.
    await deployment.evacuate("DELETE", ZONE, [frozen, ...others]);
    await deployment.evacuate("POST", ZONE, others);
    const ackedAtMs = now();
    // Past all bounds: the core is stable again, too.
    const { evacuateMs, outerMs, contactMs } = BOUNDS;
    const dueAtMs = Math.max(
      ackedAtMs + evacuateMs + outerMs, frozenAtMs + FREEZE_MS + contactMs);
    await delay(dueAtMs - now());
    // A job that only the worker in the zone could run.
    const id = newJobId();
    await deployment.submit(PREFIX + id, {
      spec: JSON.stringify({ ms: 100 }),
      steps: [{
        count: 1, cpu: 1000, memMb: 1000, gpu: 1, estimateMs: 100,
        requires: deployment.workers[0].options.rack,
      }],
    });
    await delay(1500);
    const start = started.get(id);
    record.write("checked", { try: tries + 1, frozen: frozen.name, ackedAtMs, start });
    if (start !== undefined) {
      broken.push({ ...start, ackedAtMs, try: tries + 1 });
    }
    await deployment.client(deployment.doors[0], "DELETE", PREFIX + id);
  }
  const [first] = broken;
  return first === undefined
    ? undefined
    : `EVAC: in try ${first.try} a task was started in ${ZONE}, ` +
      `${first.atMs - first.ackedAtMs} ms after its evacuation was acknowledged`;
});
