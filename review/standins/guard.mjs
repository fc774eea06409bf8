/**
 * Ends the processes of a deployment if the script that started them is gone
 * without having done so, as after SIGKILL: its end of this process's standard
 * input is closed then. Arguments: the temporary folder, then the process IDs.
 */

import { rmSync } from "node:fs";

const [folder, ...pids] = process.argv.slice(2);

process.stdin.resume();
process.stdin.on("end", () => {
  for (const pid of pids) {
    try {
      process.kill(Number(pid), "SIGKILL");
    } catch {
      // It has ended.
    }
  }
  rmSync(folder, { recursive: true, force: true });
});
