// A job whose cancelling was acknowledged runs after all: the door's call to
// the leader was held up in a partition. See claim.txt.

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BOUNDS, configuration, delay, newJobId, now, route, runCase, TROUBLE,
} from "../standins-2/kit.mjs";

const PREFIX = "/blend/";
/** `node_cut` of the site file: share 0.17 of the machines for 5.5 s. */
const DOORS = process.env.HOW === "freeze" ? 10 : 6;
const CUT_MS = 5500;
const JOBS = 4;
const JOB_MS = 40_000;
/** `freeze`: the door stands still instead (`node_freeze`, 0.11 for 3.5 s). */
const IS_FREEZE = process.env.HOW === "freeze";
const FREEZE_MS = 3500;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const events = [];
  await deployment.open({ cores: 3, doors: DOORS, linkedDoor: IS_FREEZE ? undefined : 0 });
  await deployment.configure(configuration(1, [route("r-blend", PREFIX, 1)]));
  for (let at = 0; at < 3; at++) {
    await deployment.addWorker({ onEvent: (event) => events.push(event) });
  }
  await deployment.settle(PREFIX);
  const [cutDoor, ...otherDoors] = deployment.doors;
  // Ordinary traffic through the door that will be cut off.
  for (let round = 0; round < 10; round++) {
    await Promise.all(Array.from({ length: 8 }, () =>
      deployment.client(cutDoor, "GET", PREFIX, { isQuiet: true })));
    await delay(200);
  }

  const cutAtMs = now();
  if (TROUBLE && IS_FREEZE) {
    cutDoor.child.kill("SIGSTOP");
    record.write("frozen", { door: cutDoor.name });
  } else if (TROUBLE) {
    deployment.links.forEach((link) => link.cut());
    record.write("cut", { door: cutDoor.name });
  }
  const job = {
    spec: JSON.stringify({ ms: JOB_MS }),
    steps: [{ count: 1, cpu: 1000, memMb: 1000, gpu: 1, estimateMs: JOB_MS }],
  };
  // Each client hands its job in, gets no acceptance in its time, gives the job
  // up and cancels it.
  const jobs = await Promise.all(Array.from({ length: JOBS }, async (_, at) => {
    const id = newJobId();
    const submitted = await deployment.client(cutDoor, "POST", PREFIX + id, { body: job });
    for (let attempt = 0; attempt < 20; attempt++) {
      const door = otherDoors[(at + attempt) % otherDoors.length];
      const { status } = await deployment.client(door, "DELETE", PREFIX + id);
      if (status === 410 || (status >= 200 && status < 300)) {
        return { id, submitted: submitted.status, cancelled: status, cancelledAtMs: now() };
      }
      await delay(200);
    }
    throw new Error(`the cancelling of ${id} was not acknowledged`);
  }));
  await delay(Math.max(0, cutAtMs + (IS_FREEZE ? FREEZE_MS : CUT_MS) - now()));
  if (TROUBLE && IS_FREEZE) {
    cutDoor.child.kill("SIGCONT");
    record.write("thawed");
  } else if (TROUBLE) {
    deployment.links.forEach((link) => link.heal());
    record.write("healed");
  }
  const healedAtMs = now();

  // A stretch without any disruption, after which no task may be left.
  const { contactMs, cancel_ms, stopTimeoutMs } = BOUNDS;
  await delay(contactMs + cancel_ms + stopTimeoutMs + 500);
  const calmMs = Math.max(healedAtMs + contactMs, ...jobs.map((each) => each.cancelledAtMs)) +
    cancel_ms + stopTimeoutMs;
  const broken = [];
  for (const each of jobs) {
    const own = events.filter(({ task }) => task?.startsWith(each.id));
    const start = own.findLast(({ what }) => what === "start");
    const isRunning = start !== undefined &&
      !own.some(({ what, run }) => what === "end" && run === start.run);
    const { status, json } = await deployment.client(otherDoors[0], "GET", PREFIX + each.id);
    const result = {
      ...each, startedAtMs: start?.atMs, isRunning, shown: json?.state ?? status,
    };
    record.write("checked", { calmMs, ...result });
    if (isRunning) {
      broken.push(result);
    }
  }
  return broken.length === 0
    ? undefined
    : `UNASKED: tasks of ${broken.length} of ${JOBS} cancelled jobs run on; cancelled with ` +
      `${broken.map(({ cancelled }) => cancelled).join()}, shown as ` +
      `${broken.map(({ shown }) => shown).join()}`;
});
