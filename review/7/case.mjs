// Routes change their names while jobs are submitted: every accepted job has to
// run. See claim.txt.

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BOUNDS, configuration, delay, newJobId, now, route, runCase, TROUBLE,
} from "../standins-2/kit.mjs";

const PREFIX = "/density/";
/** `config_storm` of the site file: a change each 0.33 s for 4 s. */
const STORM_GAP_MS = 330;
const STORM_MS = 4000;
const STORMS = 8;
const STORM_PAUSE_MS = 4000;
const JOB_MS = 300;
/** Jobs a second. */
const RATE = 12;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const started = new Map();
  const onEvent = ({ what, task, atMs }) => {
    if (what === "start" && !started.has(task.slice(0, 16))) {
      started.set(task.slice(0, 16), atMs);
    }
  };
  await deployment.open({ cores: 3, doors: 2 });
  let version = 1;
  const configure = (name) =>
    deployment.configure(configuration(version++, [route(name, PREFIX, 2)]), { first: version });
  await configure("r-first");
  for (let at = 0; at < 3; at++) {
    await deployment.addWorker({ onEvent });
  }
  await deployment.settle(PREFIX);
  await delay(1500);

  const accepted = [];
  const job = {
    spec: JSON.stringify({ ms: JOB_MS }),
    steps: [{ count: 1, cpu: 1000, memMb: 1000, gpu: 1, estimateMs: JOB_MS }],
  };
  let isOpen = true;
  const submissions = [];
  const clients = (async () => {
    while (isOpen) {
      submissions.push((async () => {
        const id = newJobId();
        if (await deployment.submit(PREFIX + id, job, { retries404: true })) {
          accepted.push(id);
        }
      })());
      await delay(2 * Math.random() * 1000 / RATE);
    }
  })();
  for (let storm = 0; storm < STORMS; storm++) {
    const endMs = now() + STORM_MS;
    for (let change = 0; now() < endMs; change++) {
      if (TROUBLE) {
        // The version removes the route and adds one in its place.
        void configure(`r-${storm}-${change}`);
      }
      await delay(STORM_GAP_MS);
    }
    await delay(STORM_PAUSE_MS);
  }
  isOpen = false;
  await clients;
  await Promise.all(submissions);
  record.write("traffic ended", { accepted: accepted.length });

  // No disruption from here on, and an idle pool.
  await delay(BOUNDS.finish_s * 1000 + 3500);
  const lost = [];
  for (const id of accepted) {
    const { status, json } = await deployment.client(
      deployment.doors[0], "GET", PREFIX + id, { isQuiet: true });
    if (json?.state !== "completed") {
      lost.push({ id, status, state: json?.state, startedAtMs: started.get(id) });
    }
  }
  record.write("asked for", { accepted: accepted.length, lost });
  const never = lost.filter(({ startedAtMs }) => startedAtMs === undefined);
  return never.length === 0
    ? undefined
    : `LOST: ${never.length} of ${accepted.length} accepted jobs never ran; ` +
      `they are shown as ${[...new Set(never.map(({ state }) => state))].join()}`;
});
