/** Runs a case: deployment, stand-ins, the check and the exit code. */

import { Client } from "./client.mjs";
import { Deployment } from "./deployment.mjs";
import { Operator } from "./operator.mjs";
import { Record } from "./record.mjs";
import { Worker } from "./worker.mjs";

const EXIT = { held: 0, broken: 1, couldNotRun: 2 };

/** A case that takes longer can't run; all cases take less than 30 s. */
const LIMIT_MS = 110_000;

/** Whether the disruption takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Ends a case that can't show anything, as what it needs didn't come about. */
export class CouldNotRun extends Error {}

/**
 * Runs `play` on a new deployment with its configuration and workers;
 * `play` resolves to the breaks of the rule, as texts.
 */
export async function runCase({ workers, play }) {
  const record = new Record();
  const deployment = new Deployment(record);
  const opened = [];
  let isEnding = false;
  const end = async (exitCode) => {
    if (isEnding) {
      return;
    }
    isEnding = true;
    try {
      opened.forEach((worker) => worker.close());
      await deployment.close();
      record.write("record.txt");
    } catch (error) {
      console.error(error);
      process.exit(EXIT.couldNotRun);
    }
    process.exit(exitCode);
  };
  const stop = (reason) => {
    record.note(`the case could not run: ${reason}`);
    void end(EXIT.couldNotRun);
  };
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
    process.on(signal, () => stop(signal));
  }
  process.on("uncaughtException", (error) => stop(error.stack));
  process.on("unhandledRejection", (error) => stop(String(error)));
  setTimeout(() => stop("it took too long"), LIMIT_MS);
  let exitCode = EXIT.couldNotRun;
  try {
    await deployment.open();
    record.note(`the leader is ${deployment.leaderId()}`);
    const { controlAddresses, frontAddresses } = deployment;
    const operator = new Operator({ controlAddresses, record });
    const client = new Client({ frontAddresses, record });
    await operator.configure();
    for (const { announcedOf, ...options } of workers(deployment)) {
      const worker = new Worker({ ...options, controlAddresses, record });
      opened.push(worker);
      await worker.open(announcedOf);
    }
    const breaks = await play({
      deployment,
      operator,
      client,
      record,
      workers: opened,
    });
    breaks.forEach((text) => record.note(`BROKEN: ${text}`));
    record.note(breaks.length === 0 ? "the rule held" : "the rule is broken");
    exitCode = breaks.length === 0 ? EXIT.held : EXIT.broken;
  } catch (error) {
    record.note(`the case could not run: ${error.stack}`);
  }
  await end(exitCode);
}

/** All starts and ends on the workers, in order of time. */
export function historyOf(workers) {
  return workers.flatMap(({ history }) => history)
    .sort((a, b) => a.atMs - b.atMs);
}
