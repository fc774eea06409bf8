/**
 * Runs one stand-in worker as a process, until SIGTERM.
 *
 * @module
 */

import { appendFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import * as z from "zod";
import { SystemClock } from "../../src/base/clock.ts";
import { StandinWorker } from "./worker.ts";

const flagsSchema = z.object({
  id: z.coerce.string(),
  instances: z.coerce.string(),
  rack: z.coerce.string(),
  host: z.coerce.string(),
  port: z.coerce.number().int(),
  cores: z.coerce.number(),
  memoryBytes: z.coerce.number().int(),
  accelerators: z.coerce.number().int(),
  stopMs: z.coerce.number().int(),
  history: z.coerce.string().optional(),
});

function readFlags(): z.infer<typeof flagsSchema> {
  const tool = cac("worker");
  tool.option("--id <id>", "ID of the worker");
  tool.option(
    "--instances <list>",
    "host:port of instances, separated by commas",
  );
  tool.option("--rack <id>", "Rack of the worker", { default: "rack-1" });
  tool.option("--host <ip>", "IP address to listen on", {
    default: "127.0.0.1",
  });
  tool.option("--port <n>", "Port to listen on", { default: 0 });
  tool.option("--cores <n>", "Processor cores", { default: 32 });
  tool.option("--memory-bytes <n>", "Memory in bytes", {
    default: 64_000_000_000,
  });
  tool.option("--accelerators <n>", "Accelerators", { default: 8 });
  tool.option("--stop-ms <n>", "Time limit of a graceful stop", {
    default: 10_000,
  });
  tool.option("--history <file>", "File to append starts and ends of tasks to");
  tool.help();
  return flagsSchema.parse(tool.parse().options);
}

async function main(): Promise<void> {
  const flags = readFlags();
  const clock = new SystemClock();
  const worker = new StandinWorker({
    workerId: flags.id,
    instanceAddresses: flags.instances.split(","),
    host: flags.host,
    port: flags.port,
    clock,
    tasks: {
      onTaskEvent: (event) => {
        if (flags.history !== undefined) {
          const line = { ...event, atMs: clock.nowMs() };
          appendFileSync(flags.history, JSON.stringify(line) + "\n");
        }
      },
    },
    capacity: {
      rack: flags.rack,
      cores: flags.cores,
      memoryBytes: flags.memoryBytes,
      accelerators: flags.accelerators,
    },
  });
  await worker.start();
  console.log(JSON.stringify({ worker: flags.id, address: worker.address }));
  process.once("SIGTERM", () => {
    worker.leave({ deadlineMs: clock.nowMs() + flags.stopMs })
      .then(() => worker.close());
  });
}

await main();
