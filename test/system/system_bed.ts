/**
 * The whole system without sockets: the real parts of five instances in two
 * data centres over one fake clock, fake links, disks, workers and servers.
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
import type { SystemMutation } from "./system_faults.ts";
import { SystemLinks } from "./system_links.ts";
import { SystemNode } from "./system_node.ts";
import { SystemOracle } from "./system_oracle.ts";
import { SystemServers } from "./system_servers.ts";
import { SystemWorkers } from "./system_workers.ts";

/** Options of {@link SystemBed}. */
export interface SystemBedOptions {
  readonly seed?: number;
  readonly mutation?: SystemMutation;
  /** Sees every event of every instance. */
  readonly onEvent?: (
    instance: SystemInstanceId,
    ...event: Parameters<EventLog["emit"]>
  ) => void;
  /** Sees every start and end of a task, in words. */
  readonly onTask?: (line: string) => void;
}

/** Time moves on in steps of this length. */
const STEP_MS = 5;

/** One process of an instance. */
interface Running {
  readonly node: SystemNode;
  readonly clock: PausableClock;
  readonly incarnation: number;
}

/** All instances, workers and servers. */
export class SystemBed {
  readonly clock = new FakeClock({ startMs: 1_000_000 });
  readonly oracle = new SystemOracle();
  readonly links: SystemLinks;
  readonly workers: SystemWorkers;
  readonly servers: SystemServers;
  readonly random: SeededRandom;
  readonly mutation: SystemMutation;
  readonly #options: SystemBedOptions;
  readonly #workerLinks: FakeLinks;
  readonly #running = new Map<SystemInstanceId, Running>();
  readonly #disks = new Map<SystemInstanceId, FakeStorage>();
  #incarnation = 0;

  constructor(options: SystemBedOptions = {}) {
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
      onHappening: (happening, dataCentre) => {
        this.oracle.tasks.note(happening, { atMs: clock.nowMs(), dataCentre });
        options.onTask?.(describeTask(happening));
      },
      onDeath: (id) => this.oracle.tasks.noteWorkerDied(id),
      schedulerOf: (id) => this.awake(id)?.scheduler,
    });
    this.servers = new SystemServers({
      clock,
      random: this.#randomFor(5),
      judge: this.oracle.requests,
      mutation: this.mutation,
    });
  }

  /** Starts everything, and waits till the document is in force. */
  async open(): Promise<void> {
    for (const { id } of SYSTEM_INSTANCES) {
      await this.start(id);
    }
    await this.pass(3_000);
    void this.node("n1")?.configuration.bootstrap(SYSTEM_DOCUMENT);
    await this.pass(4_000);
  }

  node(id: SystemInstanceId): SystemNode | undefined {
    return this.#running.get(id)?.node;
  }

  /** The instance, unless it is down or stands still. */
  awake(id: SystemInstanceId): SystemNode | undefined {
    const running = this.#running.get(id);
    return running?.clock.isPaused ? undefined : running?.node;
  }

  /** The instances that run and don't stand still. */
  get awakeIds(): readonly SystemInstanceId[] {
    return SYSTEM_INSTANCES.map(({ id }) => id)
      .filter((id) => this.awake(id) !== undefined);
  }

  isUp(id: SystemInstanceId): boolean {
    return this.#running.has(id);
  }

  /** Starts an instance with what its disk holds. */
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
      events: { emit: (...event) => this.#hear(id, event) },
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
    if (this.mutation.forgetsRequests) {
      this.#forgetRequests();
    }
    this.#announceTo(id);
  }

  /** The process dies; what its disk hadn't synced may be torn. */
  crash(id: SystemInstanceId): void {
    this.resume(id);
    this.node(id)?.crash();
    this.#running.delete(id);
    this.disk(id).crash(this.random);
  }

  /** Ends well: returns once all that was begun has ended. */
  async stop(id: SystemInstanceId): Promise<void> {
    const node = this.node(id);
    if (node !== undefined) {
      const deadlineMs = this.clock.nowMs() + 10_000;
      await this.finish(node.stop(deadlineMs));
      this.#running.delete(id);
    }
  }

  /** The process stands still; nothing reaches it. */
  freeze(id: SystemInstanceId): void {
    this.#running.get(id)?.clock.pause();
    this.links.isolate(id);
  }

  /** The process goes on. */
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

  /** Moves time on, letting what is under way go on in between. */
  async pass(byMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < byMs; passedMs += STEP_MS) {
      this.clock.advance(Math.min(STEP_MS, byMs - passedMs));
      await setImmediate();
      if (this.clock.nowMs() % 500 < STEP_MS) {
        this.#look();
      }
    }
  }

  /** Moves time on till the work is done. */
  async finish<T>(work: Promise<T>): Promise<T> {
    let isDone = false;
    void work.finally(() => {
      isDone = true;
    });
    while (!isDone) {
      await this.pass(STEP_MS);
    }
    return await work;
  }

  /** Ends every fault and waits till all have gone on. */
  async calm(byMs: number): Promise<void> {
    this.links.heal();
    this.servers.faultRate = 0;
    this.workers.mend();
    for (const { id } of SYSTEM_INSTANCES) {
      this.resume(id);
      await this.start(id);
    }
    await this.pass(byMs);
  }

  close(): void {
    for (const { node } of this.#running.values()) {
      node.crash();
    }
    this.#running.clear();
    this.workers.close();
  }

  /** Apart for each user, so that a draw of one doesn't move the others. */
  #randomFor(user: number): SeededRandom {
    return new SeededRandom({ seed: (this.#options.seed ?? 1) * 1_000 + user });
  }

  #hear(
    id: SystemInstanceId,
    [name, fields]: Parameters<EventLog["emit"]>,
  ): void {
    const jobId = fields?.["jobId"];
    if (name === "jobEnded" && typeof jobId === "string") {
      this.oracle.tasks.noteJobEnded(jobId);
    }
    this.#options.onEvent?.(id, name, fields);
  }

  #forgetRequests(): void {
    const empty = new LedgerState().snapshot();
    for (const { node } of this.#running.values()) {
      node.requests.restore(empty);
    }
  }

  /** Shows the oracle every copy, and announces the servers again. */
  #look(): void {
    for (const [id, { node, incarnation }] of this.#running) {
      const { version, document } = node.configuration.current();
      this.oracle.edits.noteCopy(`${id}#${incarnation}`, {
        version,
        content: JSON.stringify(document),
      });
      this.#announceTo(id);
    }
  }

  #announceTo(id: SystemInstanceId): void {
    const { dataCentre } = placeOf(id);
    for (const at of [1, 2]) {
      this.awake(id)?.routing.announce({
        serverId: `${dataCentre}-server-${at}`,
        service: "loft",
        address: `127.0.0.1:${at}`,
        slots: 2,
        dataCentre,
        incarnation: 1,
        leaving: false,
      });
    }
  }
}

function describeTask(happening: TaskEvent): string {
  const { workerId, jobId, attempt, taskIndex, kind } = happening;
  const end = kind === "ended" ? `ended ${happening.outcome}` : kind;
  return `${workerId} ${jobId}/${attempt}/${taskIndex} ${end}`;
}

function placeOf(id: string) {
  const place = SYSTEM_INSTANCES.find((instance) => instance.id === id);
  if (place === undefined) {
    throw new Error(`no such instance: ${id}`);
  }
  return place;
}

function delayMs(from: string, to: string): number {
  return placeOf(from).region === placeOf(to).region ? 0.5 : 20;
}
