/**
 * Starts the deployment's own programs, with the commands of
 * `deploy/system.toml`, as processes on loopback addresses.
 */

import { spawn } from "node:child_process";
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const OWN_FOLDER = dirname(fileURLToPath(import.meta.url));
const REPOSITORY = join(OWN_FOLDER, "../..");

const PORTS = { front: 8521, ready: 8523, control: 8526, internal: 7000 };
const METRICS_PORT = 7012;
const ZONES = ["london-on", "windsor", "traverse"];

/** The bounds of kit/more/system/sites/lftc-sched.toml that the rules use. */
export const BOUNDS = {
  contactMs: 4_000,
  ackTimeoutMs: 5_000,
  drainMs: 2_500,
  graceS: 6,
  evacuateMs: 5_000,
  outerMs: 6_000,
  maxHoldMs: 10_000,
  stopTimeoutMs: 900,
  gangTimeoutMs: 3_000,
  reclaimMs: 3_400,
  cancel_ms: 3_000,
  finish_s: 14,
};

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** The command of a role in the deploy file, split at spaces. */
function commandOf(role) {
  const text = readFileSync(join(REPOSITORY, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1];
  return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

function canListen(host, port) {
  return new Promise((done) => {
    const server = createServer();
    server.once("error", () => done(false));
    server.listen({ host, port }, () => server.close(() => done(true)));
  });
}

/** A loopback subnet on which the ports of all machines are free. */
async function freeSubnet() {
  for (let attempt = 0; attempt < 50; attempt++) {
    const octet = () => 2 + Math.floor(Math.random() * 250);
    const subnet = `127.${octet()}.${octet()}`;
    const ports = [...Object.values(PORTS), PORTS.internal + 1, METRICS_PORT];
    const hosts = [1, 2, 3, 11, 12].map((host) => `${subnet}.${host}`);
    const free = await Promise.all(
      hosts.flatMap((host) => ports.map((port) => canListen(host, port))),
    );
    if (free.every(Boolean)) {
      return subnet;
    }
  }
  throw new Error("no loopback subnet has free ports");
}

/** Three cores with data folders and two doors. */
export class Deployment {
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #processes = new Map();
  #subnet = "";
  #record;
  #guard;

  constructor(record) {
    this.#record = record;
    process.on("exit", () => this.#killAll());
  }

  /** The address of another machine of the deployment, for stand-ins. */
  hostAt(number) {
    return `${this.#subnet}.${number}`;
  }

  get coreIds() {
    return [1, 2, 3].map((number) => this.hostAt(number));
  }

  get controlAddresses() {
    return this.coreIds.map((id) => `${id}:${PORTS.control}`);
  }

  get frontAddresses() {
    return [11, 12].map((number) => `${this.hostAt(number)}:${PORTS.front}`);
  }

  async open() {
    this.#subnet = await freeSubnet();
    this.#startGuard();
    this.coreIds.forEach((id, at) => this.#start("core", id, ZONES[at]));
    [11, 12].forEach((number, at) =>
      this.#start("door", this.hostAt(number), ZONES[at])
    );
    await this.#waitForLeader();
  }

  /** In a process group of its own, so that it outlives the script's. */
  #startGuard() {
    this.#guard = spawn(
      process.execPath,
      [join(OWN_FOLDER, "guard.mjs"), this.#folder],
      { detached: true, stdio: ["pipe", "ignore", "ignore"] },
    );
    this.#guard.stdin.on("error", () => undefined);
    this.#guard.unref();
  }

  /** The guard first: process IDs may be used again. */
  #killAll() {
    this.#guard?.kill("SIGKILL");
    for (const { child } of this.#processes.values()) {
      child.kill("SIGKILL");
    }
  }

  #start(role, id, zone) {
    const dataDir = role === "core" ? join(this.#folder, id) : null;
    if (dataDir !== null) {
      mkdirSync(dataDir);
    }
    const settings = {
      node: `${role}-${id}`,
      role,
      machineClass: role === "core" ? "core" : "edge",
      serves: [role === "core" ? "control_plane" : "edge"],
      ip: id,
      zone,
      region: "region-1",
      listen: role === "core"
        ? { control: `${id}:${PORTS.control}` }
        : { front: `${id}:${PORTS.front}`, ready: `${id}:${PORTS.ready}` },
      internalPortRange: [PORTS.internal, PORTS.internal + 15],
      seeds: this.controlAddresses,
      bootstrap: true,
      countsAsLoss: role === "core",
      dataDir,
      discovery: "self_register",
      entry: "vip",
      heartbeatMs: 1_500,
      faultTolerance: { machines: 1, zones: 1, regions: 0 },
      bounds: BOUNDS,
      config_mode: "highest",
      orders: "call",
    };
    const path = join(this.#folder, `${role}-${id}.json`);
    writeFileSync(path, JSON.stringify(settings));
    const [program, ...words] = commandOf(role);
    const child = spawn(program, words, {
      cwd: REPOSITORY,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME ?? "/",
        SESAMETHREAD_BOOT: path,
      },
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#guard.stdin.write(`${child.pid}\n`);
    const held = { child, log: [], hasEnded: false };
    child.once("exit", () => held.hasEnded = true);
    let text = "";
    child.stdout.on("data", (chunk) => {
      text += chunk;
      const lines = text.split("\n");
      text = lines.pop();
      held.log.push(...lines);
    });
    this.#processes.set(id, held);
  }

  async #waitForLeader() {
    for (let attempt = 0; attempt < 200; attempt++) {
      if (this.leaderId() !== undefined) {
        return;
      }
      await sleep(100);
    }
    throw new Error("no core became the leader within 20 s");
  }

  /** The core that became the leader last, by the programs' logs. */
  leaderId() {
    const began = [];
    for (const id of this.coreIds) {
      for (const line of this.#processes.get(id).log) {
        if (line.includes('"batchLeaderBegan"')) {
          began.push({ id, time: JSON.parse(line).time });
        }
      }
    }
    began.sort((a, b) => a.time < b.time ? -1 : 1);
    return began.at(-1)?.id;
  }

  /** Sends a signal to one process of the deployment. */
  signal(id, name) {
    this.#record.note(`platform: ${name} to the process on ${id}`);
    this.#processes.get(id).child.kill(name);
  }

  /** Kills all processes that were started. */
  async close() {
    this.#killAll();
    for (const held of this.#processes.values()) {
      for (let attempt = 0; attempt < 100 && !held.hasEnded; attempt++) {
        await sleep(20);
      }
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
