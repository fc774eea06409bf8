/**
 * Ends the programs of a script that is gone: it is told of their starts and ends on
 * its standard input, which closes with the script.
 */

import { rmSync } from "node:fs";
import { createInterface } from "node:readline";

const [, , folder] = process.argv;
const pids = new Set();
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
  process.on(signal, () => undefined);
}
createInterface({ input: process.stdin }).on("line", (line) => {
  const pid = Number(line.slice(1));
  if (line.startsWith("+")) {
    pids.add(pid);
  } else {
    pids.delete(pid);
  }
}).on("close", () => {
  for (const pid of pids) {
    for (const signal of ["SIGCONT", "SIGKILL"]) {
      try {
        process.kill(pid, signal);
      } catch {
        // It has ended.
      }
    }
  }
  if (process.env.KEEP_LOGS === undefined) {
    rmSync(folder, { recursive: true, force: true });
  }
});
