// Ends the programs of a script that is gone, however it ended: reads their
// process IDs and the folder from its input, which closes with the script.

import { rmSync } from "node:fs";
import { createInterface } from "node:readline";

const pids = [];
let folder;
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
  process.on(signal, () => undefined);
}
for await (const line of createInterface({ input: process.stdin })) {
  const [what, value] = line.split(" ");
  if (what === "pid") {
    pids.push(Number(value));
  } else if (what === "ended") {
    pids.splice(pids.indexOf(Number(value)), 1);
  } else if (what === "folder") {
    folder = value;
  }
}
for (const pid of pids) {
  try {
    process.kill(pid, "SIGKILL");
  } catch {
    // It has ended.
  }
}
if (folder !== undefined) {
  rmSync(folder, { recursive: true, force: true, maxRetries: 5 });
}
