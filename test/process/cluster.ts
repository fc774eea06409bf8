/**
 * Controls and observes the running programs of a process test.
 *
 * @module
 */

import {
  existsSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  rmdirSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import process from "node:process";
import { request } from "undici";
import { ApiClient } from "../../src/programs/commands/api_client.ts";
import type { MemberStatus } from "../../src/process/replication/mod.ts";
import type { TestInstance, TestLayout } from "./layout.ts";

const POLL_MS = 50;

/** How long {@link Cluster.waitUntil} waits before it throws. */
const CONDITION_TIMEOUT_MS = 40_000;

/** A start or an end of a task, from the history file of a worker. */
export interface TaskRecord {
  readonly kind: "started" | "ended";
  readonly workerId: string;
  readonly jobId: string;
  readonly attempt: number;
  readonly taskIndex: number;
  readonly outcome?: string;
  readonly atMs: number;
}

/** The programs of one process test. */
export class Cluster {
  readonly layout: TestLayout;

  constructor(options: { folder: string }) {
    const text = readFileSync(`${options.folder}/layout.json`, "utf8");
    this.layout = JSON.parse(text);
  }

  /** A client that calls only one instance. */
  client(id: string): ApiClient {
    const { httpPort } = this.instance(id);
    return new ApiClient({
      servers: [`127.0.0.1:${httpPort}`],
      timeoutMs: 10_000,
    });
  }

  instance(id: string): TestInstance {
    const instance = this.layout.instances.find((each) => each.id === id);
    if (instance === undefined) {
      throw new Error(`no instance ${id}`);
    }
    return instance;
  }

  /**
   * The status of an instance in a group; undefined if it does not answer or
   * is not in the group.
   */
  async member(
    id: string,
    groupId: string,
  ): Promise<MemberStatus | undefined> {
    const status = await this.get(id, "/v1/status");
    const groups = (status as { groups?: MemberStatus[] })?.groups ?? [];
    return groups.find((group) => group.groupId === groupId);
  }

  /** Waits for a leader of the group that has obtained a lease; returns its ID. */
  async leader(groupId: string): Promise<string> {
    let leaderId: string | undefined;
    await this.waitUntil(`${groupId} has a leader`, async () => {
      leaderId = undefined;
      for (const { id } of this.layout.instances) {
        const member = await this.member(id, groupId);
        const leads = member?.role === "leader" && member.leaseEndMs > 0;
        leaderId = leads ? id : leaderId;
      }
      return leaderId !== undefined;
    });
    return leaderId ?? "";
  }

  /** Gets a JSON value from an instance; undefined if the call fails. */
  async get(id: string, path: string): Promise<unknown> {
    const result = await this.client(id).json({ method: "GET", path });
    return result.toMaybe().extract();
  }

  /** Sends a signal to a program; returns false if it isn't running. */
  signal(name: string, signal: "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGTERM") {
    const path = `${this.layout.folder}/${name}.pid`;
    if (!existsSync(path)) {
      return false;
    }
    process.kill(Number(readFileSync(path, "utf8")), signal);
    return true;
  }

  /** Ends a program and keeps it stopped. */
  async stopAndHold(
    name: string,
    signal: "SIGKILL" | "SIGTERM",
  ): Promise<void> {
    writeFileSync(`${this.layout.folder}/${name}.hold`, "");
    this.signal(name, signal);
    await this.waitUntil(
      `${name} is stopped`,
      () => !existsSync(`${this.layout.folder}/${name}.pid`),
    );
  }

  /** Lets the supervisor start a program that was kept stopped. */
  release(name: string): void {
    rmSync(`${this.layout.folder}/${name}.hold`, { force: true });
  }

  /** The exit codes of a program's runs so far. */
  exitCodes(name: string): number[] {
    const path = `${this.layout.folder}/${name}.codes`;
    const text = existsSync(path) ? readFileSync(path, "utf8") : "";
    return text.split("\n").filter((line) => line !== "").map(Number);
  }

  /** Deletes the data folder of an instance that is stopped. */
  deleteData(id: string): void {
    rmSync(`${this.layout.folder}/data/${id}`, {
      recursive: true,
      force: true,
    });
  }

  /** Lets every write of a group's vote fail on one instance. */
  blockStateFile(id: string, groupId: string): void {
    mkdirSync(this.#replacementOfState(id, groupId));
  }

  unblockStateFile(id: string, groupId: string): void {
    rmdirSync(this.#replacementOfState(id, groupId));
  }

  /** A folder in the place of this file makes its creation fail. */
  #replacementOfState(id: string, groupId: string): string {
    return `${this.layout.folder}/data/${id}/${groupId}.state.new`;
  }

  /** Sets the state of all links between the data centres in the proxy. */
  async setLinks(
    command: { mode?: "open" | "silent" | "cut"; delayMs?: number },
  ): Promise<void> {
    for (const link of this.layout.links) {
      const url =
        `http://127.0.0.1:${this.layout.controlPort}/links/${link.port}`;
      const answer = await request(url, {
        method: "PUT",
        body: JSON.stringify(command),
      });
      await answer.body.dump();
      if (answer.statusCode !== 204) {
        throw new Error(`the proxy answered ${answer.statusCode}`);
      }
    }
  }

  /** The number of runs of each request, summed over all backend servers. */
  async runCounts(): Promise<Map<string, number>> {
    const counts = new Map<string, number>();
    for (const { port } of this.layout.servers) {
      const answer = await request(`http://127.0.0.1:${port}/runs`);
      const { runs } = await answer.body.json() as {
        runs: Record<string, number>;
      };
      for (const [requestId, count] of Object.entries(runs)) {
        counts.set(requestId, (counts.get(requestId) ?? 0) + count);
      }
    }
    return counts;
  }

  /** The starts and ends of tasks on all workers, ordered by time. */
  taskRecords(): TaskRecord[] {
    return readdirSync(this.layout.folder)
      .filter((name) => name.endsWith(".history"))
      .flatMap((name) =>
        readFileSync(`${this.layout.folder}/${name}`, "utf8")
          .split("\n")
          .filter((line) => line !== "")
          .map((line) => JSON.parse(line) as TaskRecord)
      )
      .sort((left, right) => left.atMs - right.atMs);
  }

  /** Polls until a condition is true; throws after a time-out. */
  async waitUntil(
    condition: string,
    isTrue: () => boolean | Promise<boolean>,
  ): Promise<void> {
    const endMs = Date.now() + CONDITION_TIMEOUT_MS;
    while (!await isTrue()) {
      if (Date.now() > endMs) {
        throw new Error(`timed out waiting until ${condition}`);
      }
      await delay(POLL_MS);
    }
  }
}

export function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
