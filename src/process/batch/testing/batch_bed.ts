/**
 * Leaders in logical time: a log that several instances lead in turn, and the
 * pool of workers that they command.
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
import type { JobSpec } from "../job_spec.ts";
import type { JobAnswer } from "../job_call.ts";
import { CallAnswerer } from "../leader/call_answerer.ts";
import { LeaderSession } from "../leader/leader_session.ts";
import { FakePool } from "./fake_pool.ts";

/** Turns of the real loop that promises may take at one moment. */
const TURNS = 12;
const COMMIT_MS = 15;
const HEARTBEAT_MS = 500;
const ATTEMPTS = 3;
const QUEUE = "queue";

/** One instance's view of the log. */
class Member implements ReplicatedLog<BatchCommand, BatchOutcome> {
  readonly state = new BatchState();
  readonly statuses: Stream<MemberStatus> = never();
  applied = 0;
  leaseEndMs = Infinity;
  isCut = false;

  constructor(readonly bed: BatchBed) {}

  async propose(command: BatchCommand): Promise<Result<BatchOutcome>> {
    const { clock } = this.bed;
    await new Promise<void>((done) => clock.after(COMMIT_MS, done));
    if (this.bed.leader?.member !== this || this.isCut) {
      return failure("outcomeUnknown");
    }
    this.bed.log.push(command);
    return Right(this.catchUp()!);
  }

  /** Applies what is committed; the outcome of the last command. */
  catchUp(): BatchOutcome | undefined {
    let outcome: BatchOutcome | undefined;
    while (this.applied < this.bed.log.length) {
      const command = structuredClone(this.bed.log[this.applied]!);
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

interface Office {
  readonly member: Member;
  session: LeaderSession | undefined;
  answerer: CallAnswerer | undefined;
}

/** Leaders, workers and callers in logical time. */
export class BatchBed {
  readonly clock = new FakeClock({ startMs: 1_000_000 });
  readonly random: RandomSource;
  readonly pool: FakePool;
  readonly log: BatchCommand[] = [];
  readonly specs = new Map<string, JobSpec>();
  leader: Office | undefined;
  #sequence = 0;

  readonly #events: EventLog;

  constructor(
    options: { seed: number; workers: number; events?: EventLog },
  ) {
    this.#events = options.events ?? SILENT_EVENT_LOG;
    this.random = new SeededRandom({ seed: options.seed * 7_919 + 17 });
    this.pool = new FakePool({
      clock: this.clock,
      random: this.random,
      workers: options.workers,
      specOf: (jobId) => this.specs.get(jobId),
      attempts: ATTEMPTS,
    });
    this.clock.every(HEARTBEAT_MS, () => this.#beat());
  }

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

  /**
   * The next leader takes office; the last one may not know yet, but its
   * lease is over. Some of what it had in hand is lost.
   */
  async elect(): Promise<void> {
    const old = this.leader;
    if (old !== undefined) {
      old.member.isCut = true;
      old.member.leaseEndMs = this.clock.nowMs();
    }
    const member = new Member(this);
    const office: Office = {
      member,
      session: undefined,
      answerer: undefined,
    };
    this.leader = office;
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
      office.session = session;
      office.answerer = new CallAnswerer({
        session,
        state: member.state,
        clock: this.clock,
        events: this.#events,
      });
    }
    await this.settle();
  }

  submit(jobId: string, spec: JobSpec): Promise<JobAnswer> {
    this.specs.set(jobId, spec);
    return this.leader!.answerer!.answer({
      kind: "submit",
      target: { host: "jobs", path: `/${jobId}`, apiKey: undefined },
      jobId,
      spec,
      receivedAtMs: this.clock.nowMs(),
    });
  }

  cancel(jobId: string): Promise<JobAnswer> {
    return this.leader!.answerer!.answer({
      kind: "cancel",
      target: { host: "jobs", path: `/${jobId}`, apiKey: undefined },
      jobId,
    });
  }

  /** Lets logical time pass. */
  async pass(durationMs: number): Promise<void> {
    const endMs = this.clock.nowMs() + durationMs;
    for (;;) {
      await this.settle();
      const dueMs = this.clock.nextDueMs() ?? endMs;
      if (dueMs > endMs) {
        this.clock.advance(endMs - this.clock.nowMs());
        await this.settle();
        return;
      }
      this.clock.advance(Math.max(0, dueMs - this.clock.nowMs()));
    }
  }

  /** Lets promises run that wait for no time. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < TURNS; turn++) {
      await new Promise<void>((done) => setImmediate(done));
    }
  }

  close(): void {
    this.leader?.session?.close();
  }

  #beat(): void {
    for (const worker of this.pool.records()) {
      this.#sequence += 1;
      void this.leader?.answerer?.answer({
        kind: "workerSeen",
        worker,
        clockMs: this.pool.clockOf(worker.id),
        sequence: this.#sequence,
      });
    }
  }
}
