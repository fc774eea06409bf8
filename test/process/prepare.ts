/**
 * Writes settings, document and a list of programs for a process test:
 * `prepare.js FOLDER`. Each line of the list is the name of a program and the
 * command that starts it. Keeps the programs' ports reserved until it is ended.
 *
 * @module
 */

import { mkdirSync, readFileSync, renameSync, writeFileSync } from "node:fs";
import process from "node:process";
import { parse, stringify } from "smol-toml";
import { createLayout, type TestInstance, type TestLayout } from "./layout.ts";
import { reservePorts } from "./port_reservation.ts";

async function main(): Promise<void> {
  const folder = process.argv[2] ?? "run/process";
  mkdirSync(`${folder}/settings`, { recursive: true });
  const reservation = await reservePorts();
  const layout = createLayout(folder, reservation.ports);
  writeFileSync(`${folder}/layout.json`, JSON.stringify(layout, null, 2));
  writeFileSync(`${folder}/document.toml`, createDocument());
  for (const instance of layout.instances) {
    const text = stringify(createSettings(instance, layout));
    writeFileSync(`${folder}/settings/${instance.id}.toml`, text);
  }
  const list = listPrograms(layout).join("\n") + "\n";
  writeFileSync(`${folder}/programs.new`, list);
  renameSync(`${folder}/programs.new`, `${folder}/programs`);
}

/** The demo's document with one rack per data centre, each guarantee once. */
function createDocument(): string {
  const text = readFileSync("examples/demo/document.toml", "utf8");
  const document = parse(text) as {
    dataCentres: Record<string, { racks: unknown[] }>;
    clientAccounts: Record<string, { guarantees?: { count: number }[] }>;
  };
  for (const section of Object.values(document.dataCentres)) {
    section.racks = section.racks.slice(0, 1);
  }
  for (const account of Object.values(document.clientAccounts)) {
    account.guarantees?.forEach((guarantee) => guarantee.count = 1);
  }
  return stringify(document);
}

function createSettings(
  instance: TestInstance,
  layout: TestLayout,
): Record<string, unknown> {
  const others = layout.instances.filter(({ id }) => id !== instance.id);
  return {
    instance: {
      ...locationOf(instance),
      httpAddress: `127.0.0.1:${instance.httpPort}`,
      peerAddress: `127.0.0.1:${instance.peerPort}`,
      hasDisk: true,
    },
    storage: { folder: `${layout.folder}/data/${instance.id}` },
    cluster: { name: "process-test" },
    bootstrap: { documentFile: `${layout.folder}/document.toml` },
    limits: { stopMs: 20_000 },
    peers: others.map((peer) => ({
      ...locationOf(peer),
      peerAddress: `127.0.0.1:${portTo(peer, { from: instance, layout })}`,
      hasDisk: true,
    })),
  };
}

function locationOf({ id, dataCentre }: TestInstance): Record<string, string> {
  return { id, dataCentre, region: `region-${dataCentre}` };
}

/** The proxy's port for a peer in another data centre, else the peer's. */
function portTo(
  peer: TestInstance,
  options: { from: TestInstance; layout: TestLayout },
): number {
  const link = options.layout.links.find(({ from, to }) =>
    from === options.from.id && to === peer.id
  );
  return link?.port ?? peer.peerPort;
}

function listPrograms(layout: TestLayout): string[] {
  const links = layout.links
    .map(({ port, targetPort }) => `--link ${port}=127.0.0.1:${targetPort}`)
    .join(" ");
  return [
    `proxy node dist/standins/link_proxy/main.js ` +
    `--control ${layout.controlPort} ${links}`,
    ...layout.instances.map(({ id }) =>
      `${id} node dist/src/programs/sesamethreadd.js ` +
      `--settings ${layout.folder}/settings/${id}.toml`
    ),
    ...layout.workers.map(({ id, rack }) =>
      `${id} node dist/standins/worker/main.js --id ${id} --rack ${rack} ` +
      `--memory-bytes 68719476736 ` +
      `--history ${layout.folder}/${id}.history ` +
      `--instances ${addressesIn(layout, rack.replace("-rack-1", ""))}`
    ),
    ...layout.servers.map(({ id, dataCentre, port }) =>
      `${id} node dist/standins/backend_server/main.js --id ${id} ` +
      `--service clearance --data-centre ${dataCentre} --port ${port} ` +
      `--announce-to ${addressesIn(layout, dataCentre)}`
    ),
  ];
}

function addressesIn(layout: TestLayout, dataCentre: string): string {
  return layout.instances
    .filter((instance) => instance.dataCentre === dataCentre)
    .map(({ httpPort }) => `127.0.0.1:${httpPort}`)
    .join(",");
}

await main();
