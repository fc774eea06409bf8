/**
 * A small stand-in for workers and the runtime, with an oracle that checks
 * every decision against what really runs.
 *
 * @module
 */

import type {
  Document,
  Guarantee,
} from "../../../../version/document/document.ts";
import { documentSchema } from "../../../../version/document/document.ts";
import type { Mutation } from "../core_context.ts";
import type { JobSpecification } from "../job.ts";
import type { JobRecord } from "../job_record.ts";
import { SchedulerCore } from "../scheduler_core.ts";
import type {
  SchedulerDecision,
  StartGang,
  StopGang,
} from "../scheduler_decision.ts";
import type {
  SchedulerEvent,
  TaskReference,
  WorkerDescription,
} from "../scheduler_event.ts";

/** The data centre of every test. */
export const DATA_CENTRE = "kalyani";

/** How long a worker's lease lasts in tests. */
export const LEASE_MS = 10_000;

interface FakeWorker {
  readonly description: WorkerDescription;
  state: "up" | "leaving" | "lost";
  /** Tasks that it runs, by job and attempt. */
  readonly running: Map<string, TaskReference[]>;
  zombies: TaskReference[];
}

interface FakeGang {
  readonly start: StartGang;
  isRunning: boolean;
}

/** What a test world is made of. */
export interface WorldOptions {
  readonly document: Document;
  readonly workers: readonly WorkerDescription[];
  readonly mutations?: readonly Mutation[];
}

/** Workers, the runtime between, and the core under test. */
export class FakeExecutor {
  core: SchedulerCore;
  nowMs = 1_000;
  /** What the oracle found wrong. */
  readonly broken: string[] = [];
  readonly jobs = new Map<string, JobSpecification>();
  readonly ended = new Map<string, string>();
  readonly workers = new Map<string, FakeWorker>();
  readonly gangs = new Map<string, FakeGang>();
  pending: (StartGang | StopGang)[] = [];
  /** Every decision so far. */
  readonly decisions: SchedulerDecision[] = [];
  readonly #mutations: readonly Mutation[];
  readonly #attempts = new Map<string, number>();
  #guaranteed = new Set<string>();
  #promises = "";
  #quarantined = new Set<string>();
  #document: Document;
  #version = 1;
  #permittedUntilMs = -1;
  #lastEvent: SchedulerEvent | undefined;

  constructor(options: WorldOptions) {
    this.#mutations = options.mutations ?? [];
    this.#document = options.document;
    this.core = this.#newCore();
    for (const description of options.workers) {
      this.workers.set(description.workerId, {
        description,
        state: "lost",
        running: new Map(),
        zombies: [],
      });
    }
    this.configure({});
    this.permit(60_000);
    for (const workerId of this.workers.keys()) {
      this.join(workerId);
    }
  }

  get document(): Document {
    return this.#document;
  }

  get isOut(): boolean {
    return this.#document.dataCentres[DATA_CENTRE]?.status === "out";
  }

  send(event: SchedulerEvent): void {
    this.#lastEvent = event;
    const wasRecovering = this.core.isRecovering;
    const decisions = this.core.handle(event);
    this.decisions.push(...decisions);
    for (const decision of decisions) {
      this.#apply(decision, wasRecovering && this.core.isRecovering);
    }
    this.broken.push(...this.core.findBrokenInvariants());
    this.#checkKnown();
    this.#noteGuaranteed();
  }

  /** The same message again. */
  repeat(): void {
    if (this.#lastEvent !== undefined) {
      this.send({ ...this.#lastEvent, atMs: this.nowMs });
    }
  }

  tick(byMs: number): void {
    this.nowMs += byMs;
    this.send({ kind: "clockTicked", atMs: this.nowMs });
  }

  permit(forMs: number): void {
    this.#permittedUntilMs = Math.max(
      this.#permittedUntilMs,
      this.nowMs + forMs,
    );
    this.send({
      kind: "startPermissionExtended",
      atMs: this.nowMs,
      permittedUntilMs: this.#permittedUntilMs,
    });
  }

  configure(change: Partial<Document>): void {
    this.#document = { ...this.#document, ...change };
    this.#version += 1;
    this.#sendConfiguration();
  }

  setStatus(status: "in" | "out"): void {
    const section = this.#document.dataCentres[DATA_CENTRE];
    if (section !== undefined) {
      this.configure({
        dataCentres: { [DATA_CENTRE]: { ...section, status } },
      });
    }
  }

  submit(job: JobSpecification): void {
    if (!this.jobs.has(job.jobId)) {
      this.jobs.set(job.jobId, job);
    }
    this.send({ kind: "jobSubmitted", atMs: this.nowMs, job });
  }

  cancel(jobId: string): void {
    this.send({ kind: "jobCancelled", atMs: this.nowMs, jobId });
  }

  join(workerId: string): void {
    const worker = this.workers.get(workerId);
    if (worker === undefined) {
      return;
    }
    worker.state = "up";
    const running = [...worker.running.values()].flat();
    this.send({
      kind: "workerJoined",
      atMs: this.nowMs,
      worker: worker.description,
      running: [...running, ...worker.zombies],
    });
  }

  leave(workerId: string): void {
    const worker = this.workers.get(workerId);
    if (worker?.state === "up") {
      worker.state = "leaving";
      this.send({ kind: "workerLeaving", atMs: this.nowMs, workerId });
    }
  }

  /** The worker is cut off; it may come back with its tasks still there. */
  lose(workerId: string, options: { leavesZombies: boolean }): void {
    const worker = this.workers.get(workerId);
    if (worker === undefined || worker.state === "lost") {
      return;
    }
    worker.state = "lost";
    worker.zombies = options.leavesZombies
      ? [...worker.running.values()].flat()
      : [];
    worker.running.clear();
    this.#quarantined.delete(workerId);
    this.send({ kind: "workerLost", atMs: this.nowMs, workerId });
  }

  /** Carries out one pending decision, in any order. */
  deliver(at: number, options: { fails: boolean }): void {
    const decision = this.pending[at % Math.max(1, this.pending.length)];
    if (decision === undefined) {
      return;
    }
    this.pending.splice(this.pending.indexOf(decision), 1);
    if (decision.kind === "stopGang") {
      this.#stop(decision);
      return;
    }
    const areUp = decision.placements.every(({ workerId }) =>
      this.workers.get(workerId)?.state !== "lost"
    );
    if (options.fails || !areUp) {
      this.#startFails(decision);
      return;
    }
    this.#runs(decision);
    this.send({
      kind: "gangStarted",
      atMs: this.nowMs,
      jobId: decision.jobId,
      attempt: decision.attempt,
    });
  }

  /** A worker reports that a running gang uses so much of what it asked. */
  reportUsage(at: number, options: { factor: number }): void {
    const running = [...this.gangs.values()].filter((gang) => gang.isRunning);
    const gang = running[at % Math.max(1, running.length)];
    if (gang === undefined) {
      return;
    }
    const { jobId, attempt, placements, resources } = gang.start;
    this.send({
      kind: "workerUsageReported",
      atMs: this.nowMs,
      workerId: placements[0]?.workerId ?? "",
      usages: placements.map(({ taskIndex }) => ({
        jobId,
        attempt,
        taskIndex,
        cores: resources.cores * options.factor,
        memoryBytes: resources.memoryBytes * options.factor,
        accelerators: resources.accelerators,
        checkpointedAtMs: this.nowMs,
      })),
    });
  }

  /** Carries out all that is pending, in order. */
  deliverAll(): void {
    while (this.pending.length > 0) {
      this.deliver(0, { fails: false });
    }
  }

  /** Every task of a job's gang succeeds, or one of them fails. */
  endJob(jobId: string, options: { fails: boolean }): void {
    const running = [...this.gangs.values()].filter((gang) => gang.isRunning);
    const at = running.findIndex((gang) => gang.start.jobId === jobId);
    if (at >= 0) {
      this.endGang(at, options);
    }
  }

  /** Every task of a running gang succeeds, or one of them fails. */
  endGang(at: number, options: { fails: boolean }): void {
    const running = [...this.gangs.values()].filter((gang) => gang.isRunning);
    const gang = running[at % Math.max(1, running.length)];
    if (gang === undefined) {
      return;
    }
    gang.isRunning = false;
    const { jobId, attempt, placements } = gang.start;
    const ending = options.fails ? placements.slice(0, 1) : placements;
    for (const { taskIndex, workerId } of ending) {
      const worker = this.workers.get(workerId);
      const key = keyOf({ jobId, attempt });
      const tasks = worker?.running.get(key);
      if (worker === undefined || tasks === undefined) {
        continue;
      }
      const left = tasks.filter((task) => task.taskIndex !== taskIndex);
      worker.running.set(key, left);
      if (left.length === 0) {
        worker.running.delete(key);
      }
      if (this.workers.get(workerId)?.state !== "lost") {
        const outcome = options.fails ? "failed" : "succeeded";
        this.send({
          kind: "taskEnded",
          atMs: this.nowMs,
          jobId,
          attempt,
          taskIndex,
          workerId,
          outcome,
        });
      }
    }
  }

  /** A new leader takes over from what was kept. */
  changeLeader(options: { startsArrive: boolean }): void {
    const records: JobRecord[] = this.core.jobRecords();
    const starts = this.pending.filter((item) => item.kind === "startGang");
    this.pending = [];
    for (const start of options.startsArrive ? starts : []) {
      this.#runs(start as StartGang);
    }
    this.core = this.#newCore();
    this.#quarantined.clear();
    this.#permittedUntilMs = -1;
    this.core.restore(records, {
      atMs: this.nowMs,
      recoverUntilMs: this.nowMs + LEASE_MS,
    });
    this.#sendConfiguration();
    for (const worker of this.workers.values()) {
      if (worker.state !== "lost") {
        this.join(worker.description.workerId);
      }
    }
  }

  /** Lets all work come to its end on healthy workers. */
  settle(): void {
    this.setStatus("in");
    for (const worker of this.workers.values()) {
      worker.zombies = [];
      this.join(worker.description.workerId);
    }
    for (let round = 0; round < 400 && !this.#isSettled(); round++) {
      this.permit(120_000);
      this.tick(5_000);
      this.deliverAll();
      this.endGang(0, { fails: false });
      this.endGang(0, { fails: false });
    }
    for (const jobId of this.jobs.keys()) {
      if (!this.ended.has(jobId)) {
        const view = this.core.jobView(jobId);
        this.broken.push(
          `oracle: job ${jobId} never ended, ${view?.phase} ` +
            `${view?.waitReason}`,
        );
      }
    }
  }

  #isSettled(): boolean {
    return this.ended.size === this.jobs.size;
  }

  #newCore(): SchedulerCore {
    return new SchedulerCore({
      dataCentre: DATA_CENTRE,
      mutations: this.#mutations,
    });
  }

  #sendConfiguration(): void {
    this.send({
      kind: "configurationChanged",
      atMs: this.nowMs,
      configuration: {
        version: this.#version,
        acceptedAtMs: this.nowMs,
        document: this.#document,
      },
    });
  }

  #apply(decision: SchedulerDecision, isRecovering: boolean): void {
    switch (decision.kind) {
      case "startGang":
        this.#checkStart(decision, isRecovering);
        this.pending.push(decision);
        this.gangs.set(keyOf(decision), { start: decision, isRunning: false });
        return;
      case "stopGang":
        this.#checkStop(decision);
        this.pending.push(decision);
        return;
      case "jobEnds":
        this.#checkEnd(decision.jobId, decision.outcome);
        return;
      case "quarantineWorker":
        this.#quarantined.add(decision.workerId);
        return;
      case "releaseWorker":
        this.#quarantined.delete(decision.workerId);
        return;
      case "jobWaits":
      case "throttleGang":
        return;
    }
  }

  #checkStart(start: StartGang, isRecovering: boolean): void {
    const name = `oracle: start of ${start.jobId}`;
    const job = this.jobs.get(start.jobId);
    if (this.isOut) {
      this.broken.push(`${name} while the data centre is out`);
    }
    if (this.nowMs > this.#permittedUntilMs) {
      this.broken.push(`${name} without permission`);
    }
    if (isRecovering) {
      this.broken.push(`${name} during recovery`);
    }
    if (this.#isActive(start.jobId) || this.ended.has(start.jobId)) {
      this.broken.push(`${name} though it runs or has ended`);
    }
    if (start.attempt <= (this.#attempts.get(start.jobId) ?? 0)) {
      this.broken.push(`${name} with an attempt used before`);
    }
    this.#attempts.set(start.jobId, start.attempt);
    const indexes = new Set(start.placements.map((each) => each.taskIndex));
    if (job === undefined || indexes.size !== job.tasks) {
      this.broken.push(`${name} without every task`);
    }
    this.#checkPlaces(start, job);
  }

  #checkPlaces(start: StartGang, job: JobSpecification | undefined): void {
    const name = `oracle: start of ${start.jobId}`;
    const racks = new Set<string>();
    const workerIds = new Set<string>();
    for (const { workerId } of start.placements) {
      const worker = this.workers.get(workerId);
      workerIds.add(workerId);
      racks.add(worker?.description.rack ?? "none");
      if (worker?.state !== "up") {
        this.broken.push(`${name} on ${workerId}, ${worker?.state}`);
      }
    }
    const isApart = (job?.adjacency === "rack" && racks.size > 1) ||
      (job?.adjacency === "worker" && workerIds.size > 1);
    if (isApart) {
      this.broken.push(`${name} on workers that aren't adjacent`);
    }
  }

  #checkStop(stop: StopGang): void {
    // A cell that moves in the same event leaves its work on loan.
    const isWithin = this.#guaranteed.has(keyOf(stop)) &&
      this.#promises === this.#readPromises();
    const isForOthers = stop.reason === "preempted" ||
      (stop.reason === "migrated" && !this.#hasLargerOwn(stop.jobId)) ||
      (stop.reason === "guaranteeReclaimed" && !this.#mayBeForOwn(stop.jobId));
    if (isWithin && isForOthers) {
      this.broken.push(
        `oracle: ${keyOf(stop)} was evicted from its guarantee`,
      );
    }
  }

  /** Whether urgent work of its own client account may want its room. */
  #mayBeForOwn(jobId: string): boolean {
    const job = this.jobs.get(jobId);
    return job?.jobClass !== "urgent" &&
      [...this.jobs.values()].some((other) =>
        other.jobClass === "urgent" &&
        other.clientAccount === job?.clientAccount
      );
  }

  /** Whether a larger gang of its own client account may want its room. */
  #hasLargerOwn(jobId: string): boolean {
    const job = this.jobs.get(jobId);
    return job !== undefined &&
      [...this.jobs.values()].some((other) =>
        other.clientAccount === job.clientAccount &&
        acceleratorsOf(other) > acceleratorsOf(job)
      );
  }

  #checkEnd(jobId: string, outcome: string): void {
    if (this.ended.has(jobId)) {
      this.broken.push(`oracle: job ${jobId} ended twice`);
    }
    this.ended.set(jobId, outcome);
    if (this.#isActive(jobId)) {
      this.broken.push(`oracle: job ${jobId} ended while it runs`);
    }
  }

  /** Whether any worker runs a task of it, or may still start one. */
  #isActive(jobId: string): boolean {
    const isStarting = this.pending.some((item) =>
      item.kind === "startGang" && item.jobId === jobId
    );
    return isStarting ||
      [...this.workers.values()].some((worker) =>
        [...worker.running.values()].flat().some((task) => task.jobId === jobId)
      );
  }

  #checkKnown(): void {
    for (const jobId of this.jobs.keys()) {
      const view = this.core.jobView(jobId);
      if (view === undefined) {
        this.broken.push(`oracle: job ${jobId} was lost`);
      } else if (
        view.phase === "queued" &&
        (view.waitReason === undefined || view.waitText === undefined)
      ) {
        this.broken.push(`oracle: job ${jobId} waits without a reason`);
      }
    }
  }

  /** Where the guarantee cells lie. */
  #readPromises(): string {
    return this.core.workers()
      .map((each) => `${each.workerId}:${each.promisedAccelerators}`)
      .sort().join();
  }

  #noteGuaranteed(): void {
    this.#guaranteed = new Set();
    this.#promises = this.#readPromises();
    for (const view of this.core.jobs()) {
      if (view.isGuaranteed) {
        this.#guaranteed.add(keyOf(view));
      }
    }
  }

  #runs(start: StartGang): void {
    for (const { workerId, taskIndex } of start.placements) {
      const worker = this.workers.get(workerId);
      if (worker === undefined || worker.state === "lost") {
        continue;
      }
      const key = keyOf(start);
      const tasks = worker.running.get(key) ?? [];
      tasks.push({ jobId: start.jobId, attempt: start.attempt, taskIndex });
      worker.running.set(key, tasks);
      this.#checkCapacity(worker);
    }
    const gang = this.gangs.get(keyOf(start));
    if (gang !== undefined) {
      gang.isRunning = true;
    }
  }

  #checkCapacity(worker: FakeWorker): void {
    let accelerators = 0;
    for (const [key, tasks] of worker.running) {
      const need = this.gangs.get(key)?.start.resources.accelerators ?? 0;
      accelerators += need * tasks.length;
    }
    if (accelerators > worker.description.accelerators) {
      this.broken.push(
        `oracle: ${worker.description.workerId} runs more than it has`,
      );
    }
  }

  #startFails(start: StartGang): void {
    const workerIds = start.placements.slice(0, 1)
      .map(({ workerId }) => workerId);
    this.#clear(start);
    this.send({
      kind: "gangStartFailed",
      atMs: this.nowMs,
      jobId: start.jobId,
      attempt: start.attempt,
      workerIds,
    });
  }

  #stop(stop: StopGang): void {
    this.pending = this.pending.filter((item) =>
      item.kind !== "startGang" || keyOf(item) !== keyOf(stop)
    );
    this.#clear(stop);
    this.send({
      kind: "gangStopped",
      atMs: this.nowMs,
      jobId: stop.jobId,
      attempt: stop.attempt,
      isCheckpointed: stop.wantsCheckpoint,
    });
  }

  #clear(attempt: { jobId: string; attempt: number }): void {
    const key = keyOf(attempt);
    for (const worker of this.workers.values()) {
      worker.running.delete(key);
      worker.zombies = worker.zombies.filter((task) => keyOf(task) !== key);
    }
    const gang = this.gangs.get(key);
    if (gang !== undefined) {
      gang.isRunning = false;
    }
  }
}

/** Workers `r0w0`, `r0w1` and so on. */
export function makeWorkers(
  options: { racks: number; workersPerRack: number; accelerators: number },
): WorkerDescription[] {
  const workers: WorkerDescription[] = [];
  for (let rack = 0; rack < options.racks; rack++) {
    for (let at = 0; at < options.workersPerRack; at++) {
      workers.push({
        workerId: `r${rack}w${at}`,
        rack: `r${rack}`,
        cores: 32,
        memoryBytes: 64_000,
        accelerators: options.accelerators,
      });
    }
  }
  return workers;
}

/** A document for {@link makeWorkers}, with the guarantees given. */
export function makeDocument(options: {
  racks: number;
  workersPerRack: number;
  accelerators: number;
  guarantees: Record<string, Omit<Guarantee, "dataCentre">[]>;
}): Document {
  const clientAccounts = Object.fromEntries(
    Object.entries(options.guarantees).map(([name, guarantees]) => [name, {
      owner: "team",
      guarantees: guarantees.map((each) => ({
        ...each,
        dataCentre: DATA_CENTRE,
      })),
    }]),
  );
  const racks = Array.from({ length: options.racks }, (_, at) => ({
    name: `r${at}`,
    workers: options.workersPerRack,
    coresPerWorker: 32,
    memoryBytesPerWorker: 64_000,
    acceleratorsPerWorker: options.accelerators,
  }));
  return documentSchema.parse({
    formatVersion: 1,
    clientAccounts,
    jobClasses: {
      urgent: { owner: "team", rank: 0, startTargetMs: 1_900 },
      dispatch: { owner: "team", rank: 1, reservationAfterMs: 60_000 },
      overnight: { owner: "team", rank: 5, reservationAfterMs: 60_000 },
    },
    dataCentres: {
      [DATA_CENTRE]: { owner: "team", region: "bengal-east", racks },
    },
  });
}

function acceleratorsOf(job: JobSpecification): number {
  return job.tasks * job.resources.accelerators;
}

function keyOf(attempt: { jobId: string; attempt: number }): string {
  return `${attempt.jobId}#${attempt.attempt}`;
}
