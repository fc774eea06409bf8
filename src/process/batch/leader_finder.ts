/**
 * Finds the leader among the instances that keep the scheduler's state, and
 * brings calls to it within their deadline.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import type { Result } from "../../base/sesame_error.ts";
import type { JobAnswer, JobCall } from "./job_call.ts";

/**
 * Brings one call to one instance. `unavailable` says that the call didn't
 * get there, `outcomeUnknown` that it may have been carried out.
 */
export interface CallTransport {
  call(
    instanceId: string,
    call: JobCall,
    options: { timeoutMs: number },
  ): Promise<Result<JobAnswer>>;
  close(): Promise<void>;
}

/** What a finder is made from. */
export interface LeaderFinderOptions {
  readonly transport: CallTransport;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Instances that may lead, from the settings. */
  readonly seedIds: readonly string[];
}

/** How a call to the leader ended. */
export type FoundAnswer =
  | { readonly kind: "answered"; readonly answer: JobAnswer }
  /** No leader took the call. */
  | { readonly kind: "notTaken" }
  /** A leader may have taken the call, and its answer is not known. */
  | { readonly kind: "unknown" };

/**
 * How long one instance may take before another one is asked: a round trip
 * between regions and a commit on a disk that is slow.
 */
const TRY_MS = 700;

/** Between two rounds over all instances. */
const PAUSE_MS = 60;

/** How often an instance that serves callers looks for the leader. */
const PING_MS = 500;

/**
 * Without an answer from any instance for so long, this one is cut off, and
 * its callers are better off elsewhere: three pings.
 */
const CUT_OFF_MS = 1_500;

/** How long the last answer of a leader counts as contact. */
const CONTACT_MS = 2_500;

/**
 * Whether a call goes on though no instance answers. A change that may have
 * been taken does, until a leader says what became of it: a caller that is
 * told "unknown" may not ask again.
 */
function isWorthAsking(call: JobCall, mayBeTaken: boolean): boolean {
  const isChange = call.kind === "submit" || call.kind === "cancel";
  return call.kind === "ping" || (isChange && mayBeTaken);
}

/** The way from this instance to the leader. */
export class LeaderFinder {
  readonly #options: LeaderFinderOptions;
  #candidates: readonly string[];
  #leaderId: string | undefined;
  #heardAtMs = -Infinity;
  /** When any instance last answered; one that is starting has time. */
  #reachedAtMs: number;
  #turn = 0;
  #pinger: Timer | undefined;

  constructor(options: LeaderFinderOptions) {
    this.#options = options;
    this.#candidates = options.seedIds;
    this.#reachedAtMs = options.clock.nowMs();
  }

  get leaderId(): string | undefined {
    return this.#leaderId;
  }

  /** Whether a leader answered lately. */
  hasContact(): boolean {
    return this.#options.clock.nowMs() - this.#heardAtMs < CONTACT_MS;
  }

  /**
   * Whether no instance has answered for a while, leader or not. Only one that
   * keeps contact can tell.
   */
  isCutOff(): boolean {
    return this.#pinger !== undefined &&
      this.#options.clock.nowMs() - this.#reachedAtMs > CUT_OFF_MS;
  }

  /** Keeps contact with the leader from now on. */
  startPinging(): void {
    this.#pinger = this.#options.clock.every(PING_MS, () => {
      const deadlineMs = this.#options.clock.nowMs() + PING_MS;
      void this.call({ kind: "ping" }, { deadlineMs });
    });
  }

  /** The settings name other instances now. */
  setSeeds(seedIds: readonly string[]): void {
    this.#candidates = [...new Set([...seedIds, ...this.#candidates])];
  }

  /** Brings a call to the leader; it may be sent more than once. */
  async call(
    call: JobCall,
    options: { deadlineMs: number },
  ): Promise<FoundAnswer> {
    const { clock } = this.#options;
    let mayBeTaken = false;
    for (;;) {
      const leftMs = options.deadlineMs - clock.nowMs();
      const isHopeless = leftMs <= 0 ||
        (!isWorthAsking(call, mayBeTaken) && this.isCutOff());
      if (isHopeless) {
        this.#noteGivenUp(call, { mayBeTaken, leftMs });
        return { kind: mayBeTaken ? "unknown" : "notTaken" };
      }
      const target = this.#nextTarget();
      const timeoutMs = Math.min(leftMs, TRY_MS);
      const result = await this.#options.transport.call(target, call, {
        timeoutMs,
      });
      const answer = result.caseOf<JobAnswer | "notTaken" | "unknown">({
        Left: (error) => error.kind === "unavailable" ? "notTaken" : "unknown",
        Right: (found) => found,
      });
      if (typeof answer === "string") {
        mayBeTaken ||= answer === "unknown";
        this.#leaderId = undefined;
      } else if (answer.kind === "notLeader") {
        this.#reachedAtMs = clock.nowMs();
        this.#follow(target, answer);
      } else if (answer.kind === "unknown") {
        mayBeTaken = true;
        this.#leaderId = undefined;
      } else {
        this.#leaderId = target;
        this.#heardAtMs = clock.nowMs();
        this.#reachedAtMs = this.#heardAtMs;
        return { kind: "answered", answer };
      }
      if (this.#leaderId === undefined) {
        await this.#pause(PAUSE_MS);
      }
    }
  }

  async close(): Promise<void> {
    this.#pinger?.close();
    await this.#options.transport.close();
  }

  #noteGivenUp(
    call: JobCall,
    options: { mayBeTaken: boolean; leftMs: number },
  ): void {
    if (call.kind === "ping") {
      return;
    }
    const { mayBeTaken, leftMs } = options;
    const name = mayBeTaken ? "batchCallUnanswered" : "batchCallUnavailable";
    this.#options.events.emit(name, {
      jobId: "jobId" in call ? call.jobId : undefined,
      call: call.kind,
      leftMs: Math.round(leftMs),
      leaderId: this.#leaderId,
      reachedAgoMs: Math.round(this.#options.clock.nowMs() - this.#reachedAtMs),
    });
  }

  #nextTarget(): string {
    if (this.#leaderId !== undefined) {
      return this.#leaderId;
    }
    this.#turn += 1;
    return this.#candidates[this.#turn % this.#candidates.length]!;
  }

  #follow(
    from: string,
    { leaderId, memberIds }: Extract<JobAnswer, { kind: "notLeader" }>,
  ): void {
    this.#leaderId = leaderId === from ? undefined : leaderId;
    if (memberIds.length > 0) {
      this.#candidates = [
        ...new Set([...memberIds, ...this.#options.seedIds]),
      ];
    }
  }

  #pause(pauseMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.after(pauseMs, resolve);
    });
  }
}
