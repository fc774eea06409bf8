/**
 * Runs one stand-in backend server until SIGTERM or SIGINT.
 *
 * @module
 */

import process from "node:process";
import { cac } from "cac";
import * as z from "zod";
import { SeededRandom, SystemClock } from "../../src/base/mod.ts";
import { StandinBackendServer } from "./mod.ts";

const flagsSchema = z.object({
  id: z.coerce.string().min(1),
  service: z.coerce.string().min(1),
  dataCentre: z.coerce.string().min(1),
  announceTo: z.coerce.string().transform((text) => text.split(",")),
  host: z.string().default("127.0.0.1"),
  port: z.number().default(0),
  slots: z.number().default(8),
  meanServiceMs: z.number().default(20),
  serviceSpread: z.number().default(0.5),
  seed: z.number().default(1),
});

async function main(): Promise<void> {
  const tool = cac("standin-backend-server");
  tool.option("--id <id>", "ID of the server");
  tool.option("--service <service>", "Service that it provides");
  tool.option("--data-centre <dataCentre>", "Data centre that it is in");
  tool.option("--announce-to <addresses>", "Instances, separated by commas");
  tool.option("--host <ip>", "IP address to listen on");
  tool.option("--port <port>", "Port to listen on; any free port if absent");
  tool.option("--slots <slots>", "Number of slots that it announces");
  tool.option("--mean-service-ms <ms>", "Mean service time of a request");
  tool.option(
    "--service-spread <spread>",
    "Spread of the service times; 0 for none",
  );
  tool.option("--seed <seed>", "Seed of its random numbers");
  tool.help();
  const { options } = tool.parse();
  if (options["help"] === true) {
    return;
  }
  const flags = flagsSchema.safeParse(options);
  if (!flags.success) {
    console.error(z.prettifyError(flags.error));
    process.exitCode = 2;
    return;
  }
  const { id, announceTo, seed, ...rest } = flags.data;
  const server = new StandinBackendServer({
    ...rest,
    serverId: id,
    instances: announceTo,
    clock: new SystemClock(),
    random: new SeededRandom({ seed }),
  });
  const address = await server.start();
  console.log(JSON.stringify({ serverId: id, address }));
  const stop = (): void => void server.stop();
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

await main();
