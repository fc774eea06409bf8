// One recurring job whose occurrences are overdue ends the cores' processes, one
// after another; other clients' jobs get no answer. See claim.txt.

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BOUNDS, configuration, delay, newJobId, now, route, runCase, TROUBLE,
} from "../standins-2/kit.mjs";

const PREFIX = "/blend/";
const WORKERS = 8;
/** `width` of blend-sim in the site file: up to 24 tasks. */
const TASKS = 24;
const OCCURRENCES = 580;
/** With the tasks 13,920, fewer than the 14,000 that the letter names. */
const INTERVAL_MS = 1000;
const WATCH_MS = 85_000;
/** "A process that exits or is killed is restarted after a short delay." */
const RESTART_MS = 1000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  await deployment.open({ cores: 3, doors: 2 });
  await deployment.configure(configuration(1, [route("r-blend", PREFIX, 1)]));
  for (let at = 0; at < WORKERS; at++) {
    await deployment.addWorker({});
  }
  await deployment.settle(PREFIX);
  await delay(1500);

  // The platform: starts processes again that end by themselves.
  const ends = [];
  const watch = (core) =>
    core.child.once("exit", (code, signal) => {
      ends.push(core.name);
      record.write("process ended by itself", { core: core.name, code, signal });
      setTimeout(() => {
        deployment.start(core);
        watch(core);
      }, RESTART_MS);
    });
  deployment.cores.forEach(watch);

  const step = (count, ms) => ({
    spec: JSON.stringify({ ms }),
    steps: [{ count, cpu: 10, memMb: 10, estimateMs: ms }],
  });
  // Jobs of other clients.
  const others = [];
  for (let at = 0; at < 5; at++) {
    const id = newJobId();
    if (await deployment.submit(PREFIX + id, step(1, 3000))) {
      others.push(id);
    }
  }
  // A schedule of one occurrence a second that began some minutes ago.
  const recurring = newJobId();
  await deployment.submit(PREFIX + recurring, {
    ...step(TASKS, 1000),
    ...(TROUBLE
      ? {
        repeats: OCCURRENCES,
        firstRunMs: Date.now() - OCCURRENCES * INTERVAL_MS,
        intervalMs: INTERVAL_MS,
      }
      : {}),
  });
  await delay(WATCH_MS);

  // `finish_s` after the end of the traffic jobs are asked for, at any door.
  const { finish_s } = BOUNDS;
  await delay(Math.max(0, finish_s * 1000 - WATCH_MS));
  const unanswered = new Set(others);
  const answers = {};
  const untilMs = now() + 15_000;
  for (let at = 0; unanswered.size > 0 && now() < untilMs; at++) {
    await Promise.all([...unanswered].map(async (id, place) => {
      const door = deployment.doors[(at + place) % deployment.doors.length];
      const { status, json } = await deployment.client(door, "GET", PREFIX + id);
      answers[`${status} ${json?.state ?? ""}`] = (answers[`${status} ${json?.state ?? ""}`] ?? 0) + 1;
      if (status === 200 && json?.state === "completed") {
        unanswered.delete(id);
      }
    }));
    await delay(200);
  }
  const perCore = deployment.cores.map(({ name }) => ends.filter((each) => each === name).length);
  record.write("asked for", { others: others.length, unanswered: unanswered.size, answers, perCore });
  const isLost = unanswered.size > 0;
  const isFault = perCore.filter((count) => count >= 3).length >= 2;
  return isLost || isFault
    ? `${isFault ? "Fault" : "LOST"}: ${unanswered.size} of ${others.length} accepted jobs of others got no answer ` +
      `in 15 s, ${JSON.stringify(answers)}; processes of the cores ended by themselves ` +
      `${perCore.join(", ")} times`
    : undefined;
});
