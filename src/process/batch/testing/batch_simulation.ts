/**
 * Simulates the batch scheduler with a fake clock: a log that several instances
 * lead in turn, and a pool of workers that they give orders to.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { never, type Stream } from "most";
import {
  failure,
  FakeClock,
  type RandomSource,
  type Result,
  SeededRandom,
} from "../../../base/mod.ts";
import { type EventLog, SILENT_EVENT_LOG } from "../../../base/event_log.ts";
import {
  MemberRole,
  type MemberStatus,
  type ReplicatedLog,
} from "../../replication/mod.ts";
import type { BatchCommand, BatchOutcome } from "../batch_command.ts";
import { BatchState } from "../batch_state.ts";
import { BATCH_TIMING } from "../batch_timing.ts";
import type { JobSpec, TaskDemand } from "../job_spec.ts";
import type { JobAnswer } from "../job_call.ts";
import { CallHandler } from "../leader/call_handler.ts";
import { LeaderSession } from "../leader/leader_session.ts";
import { FakePool } from "./fake_pool.ts";

/** Turns of the real event loop in which pending promises settle. */
const FLUSH_TURNS = 12;
const COMMIT_DELAY_MS = 15;
const ANNOUNCE_PERIOD_MS = 500;
const ATTEMPTS = 3;
const QUEUE = "queue";

/** One instance's member of the group, with its replica of the state. */
class SimulatedMember implements ReplicatedLog<BatchCommand, BatchOutcome> {
  readonly state = new BatchState();
  readonly statuses: Stream<MemberStatus> = never();
  applied = 0;
  leaseEndMs = Infinity;
  isPartitioned = false;

  constructor(readonly simulation: BatchSimulation) {}

  async propose(command: BatchCommand): Promise<Result<BatchOutcome>> {
    const { clock } = this.simulation;
    await new Promise<void>((done) => clock.after(COMMIT_DELAY_MS, done));
    await this.simulation.storeStall;
    if (this.simulation.leader?.member !== this || this.isPartitioned) {
      return failure("outcomeUnknown");
    }
    this.simulation.log.push(command);
    return Right(this.catchUp()!);
  }

  /** Applies all committed commands; returns the outcome of the last one. */
  catchUp(): BatchOutcome | undefined {
    let outcome: BatchOutcome | undefined;
    while (this.applied < this.simulation.log.length) {
      const command = structuredClone(this.simulation.log[this.applied]!);
      outcome = this.state.apply(command);
      this.applied += 1;
    }
    return outcome;
  }

  readBarrier(): Promise<Result<void>> {
    return Promise.resolve(Right(undefined));
  }

  status(): MemberStatus {
    return {
      groupId: "batch",
      role: MemberRole.leader,
      term: 1,
      leaderId: "self",
      commitIndex: 0,
      appliedIndex: this.applied,
      leaseEndMs: this.leaseEndMs,
      currentAtMs: 0,
      voterIds: [],
      learnerIds: [],
    };
  }

  handOver(): Promise<void> {
    return Promise.resolve();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

interface SimulatedLeader {
  readonly member: SimulatedMember;
  session: LeaderSession | undefined;
  handler: CallHandler | undefined;
}

/** Leaders, workers and callers with a fake clock. */
export class BatchSimulation {
  readonly clock = new FakeClock({ startMs: 1_000_000 });
  readonly random: RandomSource;
  readonly pool: FakePool;
  readonly log: BatchCommand[] = [];
  readonly specs = new Map<string, JobSpec>();
  /** The accounts of jobs that have one; their names are their keys. */
  readonly accounts = new Map<string, string>();
  leader: SimulatedLeader | undefined;
  /** While it is pending, nothing is committed. */
  storeStall: Promise<void> | undefined;
  #sequence = 0;

  readonly #events: EventLog;

  constructor(
    options: {
      seed: number;
      workers: number;
      events?: EventLog;
      areLateCallsHeld?: boolean;
    },
  ) {
    this.#events = options.events ?? SILENT_EVENT_LOG;
    this.random = new SeededRandom({ seed: options.seed * 7_919 + 17 });
    this.workerIds = Array.from(
      { length: options.workers },
      (_, number) => `w${number}`,
    );
    this.pool = new FakePool({
      clock: this.clock,
      random: this.random,
      workers: options.workers,
      specOf: (jobId) => this.specs.get(jobId),
      attempts: ATTEMPTS,
      accountOf: (jobId) => this.accounts.get(jobId),
      areLateCallsHeld: options.areLateCallsHeld ?? false,
    });
    this.clock.every(ANNOUNCE_PERIOD_MS, () => this.#announceWorkers());
  }

  readonly workerIds: readonly string[];

  get state(): BatchState | undefined {
    return this.leader?.member.state;
  }

  async open(): Promise<void> {
    this.log.push({
      kind: "configure",
      document: "",
      configuration: {
        version: 1,
        queues: [{
          name: QUEUE,
          host: "jobs",
          prefix: "/",
          service: "pool",
          priority: 1,
          attempts: ATTEMPTS,
          stretch: 3,
          objectiveSlackMs: 1_000,
          isPublic: true,
        }],
        services: [{ name: "pool", guardsCapacity: true }],
        accounts: [],
      },
    });
    await this.elect();
  }

  /** Commits a version with these limits, ahead of what is being committed. */
  limit(limits: Readonly<Record<string, TaskDemand>>): void {
    const { configuration } = this.state!.inForce!.index;
    const accounts = Object.entries(limits).map(([name, runningLimit]) => ({
      name,
      apiKeys: [name],
      guaranteedAccelerators: 0,
      runningLimit,
      weight: 1,
    }));
    const version = configuration.version + 1;
    this.log.push({
      kind: "configure",
      document: "",
      configuration: { ...configuration, version, accounts },
    });
    this.leader!.member.catchUp();
    const atMs = this.clock.nowMs();
    this.pool.limits.versions.push({
      limits,
      sentAtMs: atMs,
      acknowledgedAtMs: atMs,
    });
  }

  /**
   * Makes a new member the leader. The previous leader isn't notified, but its
   * leader lease has ended and its pending proposals fail.
   */
  async elect(): Promise<void> {
    const previous = this.leader;
    if (previous !== undefined) {
      previous.member.isPartitioned = true;
      previous.member.leaseEndMs = this.clock.nowMs();
    }
    const member = new SimulatedMember(this);
    const newLeader: SimulatedLeader = {
      member,
      session: undefined,
      handler: undefined,
    };
    this.leader = newLeader;
    member.catchUp();
    this.log.push({ kind: "epoch", leaderId: "self" });
    const outcome = member.catchUp();
    if (outcome?.kind === "epoch") {
      const session = new LeaderSession({
        log: member,
        state: member.state,
        clock: this.clock,
        calls: this.pool,
        events: this.#events,
        timing: BATCH_TIMING,
        epoch: outcome.epoch,
        onEnded: () => undefined,
      });
      newLeader.session = session;
      newLeader.handler = new CallHandler({
        session,
        state: member.state,
        clock: this.clock,
        events: this.#events,
      });
    }
    await this.flushPromises();
  }

  submit(
    jobId: string,
    spec: JobSpec,
    caller?: AbortSignal,
  ): Promise<JobAnswer> {
    this.specs.set(jobId, spec);
    return this.leader!.handler!.answer({
      kind: "submit",
      target: {
        host: "jobs",
        path: `/${jobId}`,
        apiKey: this.accounts.get(jobId),
      },
      jobId,
      spec,
      receivedAtMs: this.clock.nowMs(),
    }, caller);
  }

  cancel(jobId: string): Promise<JobAnswer> {
    return this.leader!.handler!.answer({
      kind: "cancel",
      target: { host: "jobs", path: `/${jobId}`, apiKey: undefined },
      jobId,
    });
  }

  /** Delivers a worker's report that it leaves. */
  leave(workerId: string): Promise<JobAnswer> {
    return this.leader!.handler!.answer({ kind: "workerLeaves", workerId });
  }

  /** Advances the fake clock timer by timer. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.clock.steadyMs() + durationMs;
    for (;;) {
      await this.flushPromises();
      const dueMs = this.clock.nextDueMs() ?? endMs;
      if (dueMs > endMs) {
        this.clock.advance(endMs - this.clock.steadyMs());
        await this.flushPromises();
        return;
      }
      this.clock.advance(Math.max(0, dueMs - this.clock.steadyMs()));
    }
  }

  /** Waits until promises that don't depend on the clock have settled. */
  async flushPromises(): Promise<void> {
    for (let turn = 0; turn < FLUSH_TURNS; turn++) {
      await new Promise<void>((done) => setImmediate(done));
    }
  }

  close(): void {
    this.leader?.session?.close();
  }

  #announceWorkers(): void {
    for (const worker of this.pool.records()) {
      this.#sequence += 1;
      void this.leader?.handler?.answer({
        kind: "workerSeen",
        worker,
        sequence: this.#sequence,
      });
    }
  }
}
