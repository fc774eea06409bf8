import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { withCallDeadline } from "./call_deadline.ts";

const DEADLINE_MS = 1;

/** Long after the deadline, so that a timer left behind would have fired. */
const AFTERWARDS_MS = 50;

test("a call that is answered is never aborted later", async (t) => {
  let seen: AbortSignal | undefined;
  const answer = await withCallDeadline(DEADLINE_MS, (signal) => {
    seen = signal;
    return Promise.resolve("done");
  });
  await sleep(AFTERWARDS_MS);
  t.is(answer, "done");
  t.false(seen?.aborted);
});

test("a call that fails is never aborted later", async (t) => {
  let seen: AbortSignal | undefined;
  const failing = withCallDeadline(DEADLINE_MS, (signal) => {
    seen = signal;
    return Promise.reject(new Error("no"));
  });
  await t.throwsAsync(failing, { message: "no" });
  await sleep(AFTERWARDS_MS);
  t.false(seen?.aborted);
});

test("a call without an answer is given up", async (t) => {
  const silent = (signal: AbortSignal) =>
    new Promise<never>((_resolve, reject) => {
      signal.addEventListener("abort", () => reject(signal.reason));
    });
  await t.throwsAsync(withCallDeadline(DEADLINE_MS, silent), {
    message: "no answer within 1 ms",
  });
});
