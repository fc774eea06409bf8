/**
 * A hold on the running programs of a process test.
 *
 * @module
 */

import {
  existsSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import process from "node:process";
import { request } from "undici";
import { ApiClient } from "../../src/programs/commands/api_client.ts";
import type { MemberStatus } from "../../src/process/replication/mod.ts";
import type { TestInstance, TestLayout } from "./layout.ts";

const POLL_MS = 50;

/** After so long a condition that should come about is taken for a fault. */
const PATIENCE_MS = 40_000;

/** A start or an end of a task, as a worker noted it down. */
export interface TaskNote {
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

  /** A client of one instance alone. */
  client(id: string): ApiClient {
    const { httpPort } = this.instance(id);
    return new ApiClient({
      servers: [`127.0.0.1:${httpPort}`],
      timeoutMs: 10_000,
    });
  }

  instance(id: string): TestInstance {
    const found = this.layout.instances.find((each) => each.id === id);
    if (found === undefined) {
      throw new Error(`no instance ${id}`);
    }
    return found;
  }

  /** Where an instance stands in a group; undefined when it can't be asked. */
  async member(
    id: string,
    groupId: string,
  ): Promise<MemberStatus | undefined> {
    const status = await this.get(id, "/v1/status");
    const groups = (status as { groups?: MemberStatus[] })?.groups ?? [];
    return groups.find((group) => group.groupId === groupId);
  }

  /** The instance that leads a group, as it says itself. */
  async leader(groupId: string): Promise<string> {
    let leaderId: string | undefined;
    await this.until(`a leader of ${groupId}`, async () => {
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

  /** One JSON value, or undefined when it can't be had. */
  async get(id: string, path: string): Promise<unknown> {
    const result = await this.client(id).json({ method: "GET", path });
    return result.toMaybe().extract();
  }

  /** Sends a signal to a program; false when it doesn't run. */
  signal(name: string, signal: "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGTERM") {
    const path = `${this.layout.folder}/${name}.pid`;
    if (!existsSync(path)) {
      return false;
    }
    process.kill(Number(readFileSync(path, "utf8")), signal);
    return true;
  }

  /** Ends a program and keeps it down. */
  async down(name: string, signal: "SIGKILL" | "SIGTERM"): Promise<void> {
    writeFileSync(`${this.layout.folder}/${name}.hold`, "");
    this.signal(name, signal);
    await this.until(
      `${name} is down`,
      () => !existsSync(`${this.layout.folder}/${name}.pid`),
    );
  }

  /** Starts a program that was kept down. */
  up(name: string): void {
    rmSync(`${this.layout.folder}/${name}.hold`, { force: true });
  }

  /** The exit codes of a program's ended runs. */
  exitCodes(name: string): number[] {
    const path = `${this.layout.folder}/${name}.codes`;
    const text = existsSync(path) ? readFileSync(path, "utf8") : "";
    return text.split("\n").filter((line) => line !== "").map(Number);
  }

  /** Loses the disk of an instance that is down. */
  wipe(id: string): void {
    rmSync(`${this.layout.folder}/data/${id}`, {
      recursive: true,
      force: true,
    });
  }

  /** Tells the proxy what to do with the links between the data centres. */
  async setLinks(
    order: { mode?: "open" | "silent" | "cut"; delayMs?: number },
  ): Promise<void> {
    for (const link of this.layout.links) {
      const url =
        `http://127.0.0.1:${this.layout.controlPort}/links/${link.port}`;
      const answer = await request(url, {
        method: "PUT",
        body: JSON.stringify(order),
      });
      await answer.body.dump();
      if (answer.statusCode !== 204) {
        throw new Error(`the proxy answered ${answer.statusCode}`);
      }
    }
  }

  /** How often each request was run, over all backend servers. */
  async runs(): Promise<Map<string, number>> {
    const total = new Map<string, number>();
    for (const { port } of this.layout.servers) {
      const answer = await request(`http://127.0.0.1:${port}/runs`);
      const { runs } = await answer.body.json() as {
        runs: Record<string, number>;
      };
      for (const [requestId, count] of Object.entries(runs)) {
        total.set(requestId, (total.get(requestId) ?? 0) + count);
      }
    }
    return total;
  }

  /** What the workers noted down of tasks, in order of time. */
  taskNotes(): TaskNote[] {
    return readdirSync(this.layout.folder)
      .filter((name) => name.endsWith(".history"))
      .flatMap((name) =>
        readFileSync(`${this.layout.folder}/${name}`, "utf8")
          .split("\n")
          .filter((line) => line !== "")
          .map((line) => JSON.parse(line) as TaskNote)
      )
      .sort((left, right) => left.atMs - right.atMs);
  }

  /** Waits for what has to come about; throws when it doesn't. */
  async until(
    what: string,
    isTrue: () => boolean | Promise<boolean>,
  ): Promise<void> {
    const endMs = Date.now() + PATIENCE_MS;
    while (!await isTrue()) {
      if (Date.now() > endMs) {
        throw new Error(`waited in vain: ${what}`);
      }
      await pause(POLL_MS);
    }
  }
}

/** Lets real time go by. */
export function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
