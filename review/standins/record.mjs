/** What was sent, answered and run, with the seconds since the start. */

import { writeFileSync } from "node:fs";

export class Record {
  #beganAtMs = Date.now();
  #lines = [];

  /** Milliseconds since the start. */
  nowMs() {
    return Date.now() - this.#beganAtMs;
  }

  note(text) {
    const seconds = (this.nowMs() / 1_000).toFixed(3).padStart(8);
    this.#lines.push(`${seconds} s  ${text}`);
  }

  write(path) {
    writeFileSync(path, `${this.#lines.join("\n")}\n`);
  }
}
