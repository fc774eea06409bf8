/**
 * Ends the processes of a deployment if the script that starts them is gone
 * without having done so, as after SIGKILL: its end of this process's standard
 * input is closed then. Their IDs arrive there, one a line. Argument: the
 * temporary folder.
 */

import { rmSync } from "node:fs";

let text = "";

process.stdin.on("data", (bytes) => text += bytes);
process.stdin.on("end", () => {
  for (const pid of text.split("\n").filter((line) => line !== "")) {
    try {
      process.kill(Number(pid), "SIGKILL");
    } catch {
      // It has ended.
    }
  }
  rmSync(process.argv[2], { recursive: true, force: true });
});
