import test from "ava";
import { readFileSync } from "node:fs";
import { GOLDEN_FOLDER, GOLDEN_SESSIONS } from "./golden_sessions.ts";

for (const { name, run } of GOLDEN_SESSIONS) {
  test(`the session ${name} matches its golden file`, async (t) => {
    t.is(await run(), readFileSync(`${GOLDEN_FOLDER}/${name}.txt`, "utf8"));
  });
}
