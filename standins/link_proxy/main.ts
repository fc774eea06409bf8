/**
 * Runs link proxies, one for each `--link PORT=HOST:PORT`. They are controlled
 * by `PUT /links/PORT` with `{"mode": ..., "delayMs": ...}`.
 *
 * @module
 */

import { createServer, type IncomingMessage } from "node:http";
import process from "node:process";
import { json } from "node:stream/consumers";
import { cac } from "cac";
import * as z from "zod";
import { LinkMode, LinkProxy } from "./link_proxy.ts";

const commandSchema = z.strictObject({
  mode: z.enum([LinkMode.open, LinkMode.silent, LinkMode.cut]).optional(),
  delayMs: z.number().min(0).max(10_000).optional(),
});

interface ProgramOptions {
  readonly control: number;
  readonly link: string | string[];
  readonly delayMs: number;
}

async function run(options: ProgramOptions): Promise<void> {
  const links = new Map<string, LinkProxy>();
  for (const text of [options.link].flat()) {
    const { port, proxy } = parseLink(text, options.delayMs);
    await proxy.open();
    links.set(port, proxy);
  }
  const server = createServer((request, response) => {
    void applyCommand(links, request).then((status) => {
      response.writeHead(status).end();
    });
  });
  server.listen(options.control, "127.0.0.1");
  process.on("SIGTERM", () => process.exit(0));
}

function parseLink(
  text: string,
  delayMs: number,
): { port: string; proxy: LinkProxy } {
  const [port = "", target = ""] = text.split("=");
  const [targetHost = "", targetPort = ""] = target.split(":");
  const proxy = new LinkProxy({
    listenPort: Number(port),
    targetHost,
    targetPort: Number(targetPort),
    delayMs,
  });
  return { port, proxy };
}

async function applyCommand(
  links: ReadonlyMap<string, LinkProxy>,
  request: IncomingMessage,
): Promise<number> {
  const proxy = links.get(request.url?.split("/")[2] ?? "");
  const command = commandSchema.safeParse(
    await json(request).catch(() => null),
  );
  if (proxy === undefined || !command.success) {
    return 400;
  }
  const { mode, delayMs } = command.data;
  proxy.set({
    ...(mode === undefined ? {} : { mode }),
    ...(delayMs === undefined ? {} : { delayMs }),
  });
  return 204;
}

const program = cac("link-proxy");
program
  .command("", "Forward TCP connections")
  .option("--control <port>", "Port of the control endpoint")
  .option("--link <link>", "PORT=HOST:PORT to forward; may be repeated")
  .option("--delay-ms <ms>", "One-way delay", { default: 0 })
  .action((options: ProgramOptions) => run(options));
program.help();
program.parse();
