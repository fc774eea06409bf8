/**
 * A simulation of the whole system without sockets: the real subsystems of five
 * instances in two data centres over a fake clock, links, disks, workers and
 * backend servers.
 *
 * @module
 */

import { setImmediate } from "node:timers/promises";
import type { EventLog } from "../../src/base/event_log.ts";
import { FakeClock } from "../../src/base/fake_clock.ts";
import { SeededRandom } from "../../src/base/random_source.ts";
import { LedgerState } from "../../src/process/ledger/mod.ts";
import { FakePeerHub } from "../../src/process/replication/fake_peer_network.ts";
import { FakeLinks } from "../../src/process/scheduler/runtime/testing/fake_links.ts";
import { FakeWorkerClient } from "../../src/process/scheduler/runtime/testing/fake_worker.ts";
import { FakeStorage } from "../../src/process/storage/fake_storage.ts";
import type { TaskEvent } from "../../standins/worker/worker_types.ts";
import { PausableClock } from "./pausable_clock.ts";
import {
  SYSTEM_DOCUMENT,
  SYSTEM_INSTANCES,
  type SystemInstanceId,
} from "./system_document.ts";
import type { SystemMutation } from "./system_mutation.ts";
import { SystemLinks } from "./system_links.ts";
import { SystemNode } from "./system_node.ts";
import { SystemOracle } from "./system_oracle.ts";
import { SystemServers } from "./system_servers.ts";
import { SystemWorkers } from "./system_workers.ts";

/** Options of {@link SystemSimulation}. */
export interface SystemSimulationOptions {
  readonly seed?: number;
  readonly mutation?: SystemMutation;
  /** Called with every event of every instance. */
  readonly onEvent?: (
    instance: SystemInstanceId,
    ...event: Parameters<EventLog["emit"]>
  ) => void;
  /** Called with a description of every start and end of a task. */
  readonly onTask?: (line: string) => void;
}

/** Simulated time advances in steps of this length. */
const STEP_MS = 5;

/** A running process of an instance. */
interface RunningInstance {
  readonly node: SystemNode;
  readonly clock: PausableClock;
  readonly incarnation: number;
}

/** All instances, workers and backend servers. */
export class SystemSimulation {
  readonly clock = new FakeClock({ startMs: 1_000_000 });
  readonly oracle = new SystemOracle();
  readonly links: SystemLinks;
  readonly workers: SystemWorkers;
  readonly servers: SystemServers;
  readonly random: SeededRandom;
  readonly mutation: SystemMutation;
  readonly #options: SystemSimulationOptions;
  readonly #workerLinks: FakeLinks;
  readonly #running = new Map<SystemInstanceId, RunningInstance>();
  readonly #disks = new Map<SystemInstanceId, FakeStorage>();
  #incarnation = 0;

  constructor(options: SystemSimulationOptions = {}) {
    const { clock } = this;
    this.#options = options;
    this.mutation = options.mutation ?? {};
    this.random = this.#randomFor(1);
    this.#workerLinks = new FakeLinks({ clock, random: this.#randomFor(2) });
    const hub = new FakePeerHub({
      clock,
      random: this.#randomFor(3),
      delayMs: (from, to) => delayMs(from, to),
    });
    this.links = new SystemLinks({ hub, workerLinks: this.#workerLinks });
    this.workers = new SystemWorkers({
      clock,
      random: this.#randomFor(4),
      links: this.#workerLinks,
      mutation: this.mutation,
      onTaskEvent: (event, dataCentre) => {
        this.oracle.tasks.recordTaskEvent(event, {
          atMs: clock.nowMs(),
          dataCentre,
        });
        options.onTask?.(describeTask(event));
      },
      onWorkerDied: (id) => this.oracle.tasks.recordWorkerDied(id),
      schedulerOf: (id) => this.responsive(id)?.scheduler,
    });
    this.servers = new SystemServers({
      clock,
      random: this.#randomFor(5),
      checker: this.oracle.requests,
      mutation: this.mutation,
    });
  }

  /** Starts all instances and waits until the document is in force. */
  async open(): Promise<void> {
    for (const { id } of SYSTEM_INSTANCES) {
      await this.start(id);
    }
    await this.advance(3_000);
    void this.node("n1")?.configuration.bootstrap(SYSTEM_DOCUMENT);
    await this.advance(4_000);
  }

  node(id: SystemInstanceId): SystemNode | undefined {
    return this.#running.get(id)?.node;
  }

  /** The instance, unless it is down or frozen. */
  responsive(id: SystemInstanceId): SystemNode | undefined {
    const running = this.#running.get(id);
    return running?.clock.isPaused ? undefined : running?.node;
  }

  /** The instances that are neither down nor frozen. */
  get responsiveIds(): readonly SystemInstanceId[] {
    return SYSTEM_INSTANCES.map(({ id }) => id)
      .filter((id) => this.responsive(id) !== undefined);
  }

  isUp(id: SystemInstanceId): boolean {
    return this.#running.has(id);
  }

  /** Starts an instance from its disk, unless it runs. */
  async start(id: SystemInstanceId): Promise<void> {
    if (this.#running.has(id)) {
      return;
    }
    this.#incarnation += 1;
    const incarnation = this.#incarnation;
    const clock = new PausableClock(this.clock);
    const node = await SystemNode.open({
      id,
      incarnation,
      clock,
      random: this.#randomFor(10 + incarnation),
      network: this.links.join(id),
      storage: this.disk(id),
      events: { emit: (...event) => this.#recordEvent(id, event) },
      workers: new FakeWorkerClient({
        clock,
        links: this.#workerLinks,
        selfId: id,
        workers: this.workers.all,
      }),
      servers: {
        send: (attempt) => this.servers.send(attempt),
        close: () => Promise.resolve(),
      },
      mutation: this.mutation,
    });
    this.#running.set(id, { node, clock, incarnation });
    if (this.mutation.clearsLedgers) {
      this.#clearLedgers();
    }
    this.#announceTo(id);
  }

  /** Ends a process at once; unsynced writes to its disk may be torn. */
  crash(id: SystemInstanceId): void {
    this.resume(id);
    this.node(id)?.crash();
    this.#running.delete(id);
    this.disk(id).crash(this.random);
  }

  /** Stops an instance gracefully: waits for its requests, at most 10 s. */
  async stop(id: SystemInstanceId): Promise<void> {
    const node = this.node(id);
    if (node !== undefined) {
      const deadlineMs = this.clock.nowMs() + 10_000;
      await this.finish(node.stop(deadlineMs));
      this.#running.delete(id);
    }
  }

  /** Freezes a process: its timers wait and no message reaches it. */
  freeze(id: SystemInstanceId): void {
    this.#running.get(id)?.clock.pause();
    this.links.isolate(id);
  }

  /** Resumes a frozen process. */
  resume(id: SystemInstanceId): void {
    const running = this.#running.get(id);
    if (running?.clock.isPaused) {
      this.links.rejoin(id);
      running.clock.resume();
    }
  }

  disk(id: SystemInstanceId): FakeStorage {
    const disk = this.#disks.get(id) ?? new FakeStorage();
    disk.faults.syncLies = this.mutation.syncLies ?? false;
    this.#disks.set(id, disk);
    return disk;
  }

  /** Advances time in small steps, running pending work in between. */
  async advance(byMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < byMs; elapsedMs += STEP_MS) {
      this.clock.advance(Math.min(STEP_MS, byMs - elapsedMs));
      await setImmediate();
      if (this.clock.nowMs() % 500 < STEP_MS) {
        this.#recordCopiesAndAnnounce();
      }
    }
  }

  /** Advances time until the work is done. */
  async finish<T>(work: Promise<T>): Promise<T> {
    let isDone = false;
    void work.finally(() => {
      isDone = true;
    });
    while (!isDone) {
      await this.advance(STEP_MS);
    }
    return await work;
  }

  /** Ends every fault, starts what is down, and lets time pass. */
  async endFaultsAndWait(byMs: number): Promise<void> {
    this.links.heal();
    this.servers.faultRate = 0;
    this.workers.restoreAll();
    for (const { id } of SYSTEM_INSTANCES) {
      this.resume(id);
      await this.start(id);
    }
    await this.advance(byMs);
  }

  close(): void {
    for (const { node } of this.#running.values()) {
      node.crash();
    }
    this.#running.clear();
    this.workers.close();
  }

  /** A separate random stream, unaffected by the draws of other components. */
  #randomFor(stream: number): SeededRandom {
    return new SeededRandom({
      seed: (this.#options.seed ?? 1) * 1_000 + stream,
    });
  }

  #recordEvent(
    id: SystemInstanceId,
    [name, fields]: Parameters<EventLog["emit"]>,
  ): void {
    const jobId = fields?.["jobId"];
    if (name === "jobEnded" && typeof jobId === "string") {
      this.oracle.tasks.recordJobEnded(jobId);
    }
    this.#options.onEvent?.(id, name, fields);
  }

  #clearLedgers(): void {
    const empty = new LedgerState().snapshot();
    for (const { node } of this.#running.values()) {
      node.requests.restore(empty);
    }
  }

  /** Records every copy of the document, and announces the servers again. */
  #recordCopiesAndAnnounce(): void {
    for (const [id, { node, incarnation }] of this.#running) {
      const { version, document } = node.configuration.current();
      this.oracle.edits.recordCopy(`${id}#${incarnation}`, {
        version,
        content: JSON.stringify(document),
      });
      this.#announceTo(id);
    }
  }

  #announceTo(id: SystemInstanceId): void {
    const { dataCentre } = locationOf(id);
    for (const number of [1, 2]) {
      this.responsive(id)?.routing.announce({
        serverId: `${dataCentre}-server-${number}`,
        service: "loft",
        address: `127.0.0.1:${number}`,
        slots: 2,
        dataCentre,
        incarnation: 1,
        leaving: false,
      });
    }
  }
}

function describeTask(event: TaskEvent): string {
  const { workerId, jobId, attempt, taskIndex, kind } = event;
  const end = kind === "ended" ? `ended ${event.outcome}` : kind;
  return `${workerId} ${jobId}/${attempt}/${taskIndex} ${end}`;
}

function locationOf(id: string) {
  const location = SYSTEM_INSTANCES.find((instance) => instance.id === id);
  if (location === undefined) {
    throw new Error(`no such instance: ${id}`);
  }
  return location;
}

function delayMs(from: string, to: string): number {
  return locationOf(from).region === locationOf(to).region ? 0.5 : 20;
}
