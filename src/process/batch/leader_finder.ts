/**
 * Finds the leader among the instances that replicate the scheduler's state,
 * and sends calls to it within their deadline.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import type { Result } from "../../base/sesame_error.ts";
import type { JobAnswer, JobCall } from "./job_call.ts";

/**
 * Sends calls to instances. Fails with `unavailable` if the call certainly
 * wasn't carried out, and with `outcomeUnknown` if it may have been.
 */
export interface CallTransport {
  call(
    instanceId: string,
    call: JobCall,
    options: { timeoutMs: number },
  ): Promise<Result<JobAnswer>>;
  close(): Promise<void>;
}

/** Options of {@link LeaderFinder}. */
export interface LeaderFinderOptions {
  readonly transport: CallTransport;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Instances from the settings that may lead. */
  readonly seedIds: readonly string[];
}

/** How a call to the leader ended. */
export type LeaderCallResult =
  | { readonly kind: "answered"; readonly answer: JobAnswer }
  /** No leader carried out the call. */
  | { readonly kind: "notTaken" }
  /** A leader may have carried out the call, and its answer isn't known. */
  | { readonly kind: "unknown" };

/**
 * How long one instance may take before another one is called: a round trip
 * between regions and a commit on a slow disk.
 */
const ATTEMPT_TIMEOUT_MS = 700;

/** Delay before the next instance is tried while the leader isn't known. */
const RETRY_DELAY_MS = 60;

/** How often an instance that serves callers calls the leader. */
const PING_PERIOD_MS = 500;

/**
 * An instance that gets no answer from any instance for three pings counts as
 * isolated: its callers are refused, so that they can use another instance.
 */
const ISOLATION_TIMEOUT_MS = 1_500;

/** How long contact with the leader lasts after its latest answer. */
const LEADER_CONTACT_TIMEOUT_MS = 2_500;

/**
 * Whether a call is retried until its deadline though this instance is
 * isolated: a ping, or a change that may have taken effect, since a caller that
 * gets "unknown" may never find out what became of it.
 */
function shouldRetryWhenIsolated(
  call: JobCall,
  mayHaveTakenEffect: boolean,
): boolean {
  const isChange = call.kind === "submit" || call.kind === "cancel";
  return call.kind === "ping" || (isChange && mayHaveTakenEffect);
}

/** Maximum number of attempts that a log line names. */
const LOGGED_ATTEMPTS_LIMIT = 12;

/** The instances that one call was sent to, and how each attempt ended. */
class AttemptLog {
  readonly #attempts: string[] = [];
  #count = 0;

  add(instanceId: string, outcome: string): void {
    this.#count += 1;
    this.#attempts.push(`${instanceId}:${outcome}`);
    if (this.#attempts.length > LOGGED_ATTEMPTS_LIMIT) {
      this.#attempts.shift();
    }
  }

  /** The last attempts, `<instance>:<outcome>`, after the number left out. */
  toString(): string {
    const leftOut = this.#count - this.#attempts.length;
    return [...(leftOut > 0 ? [`+${leftOut}`] : []), ...this.#attempts]
      .join(" ");
  }
}

/** Sends calls from this instance to the leader. */
export class LeaderFinder {
  readonly #options: LeaderFinderOptions;
  #seedIds: readonly string[];
  #candidates: readonly string[];
  #leaderId: string | undefined;
  #leaderAnsweredAtMs = -Infinity;
  /**
   * When any instance last answered; initially the start of this one, which
   * isn't isolated before it had time to get an answer.
   */
  #lastAnswerAtMs: number;
  #candidateIndex = 0;
  #pingTimer: Timer | undefined;

  constructor(options: LeaderFinderOptions) {
    this.#options = options;
    this.#seedIds = options.seedIds;
    this.#candidates = options.seedIds;
    this.#lastAnswerAtMs = options.clock.nowMs();
  }

  get leaderId(): string | undefined {
    return this.#leaderId;
  }

  /** Whether a leader answered recently. */
  hasLeaderContact(): boolean {
    return this.#options.clock.nowMs() - this.#leaderAnsweredAtMs <
      LEADER_CONTACT_TIMEOUT_MS;
  }

  /**
   * Whether no instance, leader or not, has answered for a while. False unless
   * this instance pings, since without pings nothing is known.
   */
  isIsolated(): boolean {
    return this.#pingTimer !== undefined &&
      this.#options.clock.nowMs() - this.#lastAnswerAtMs > ISOLATION_TIMEOUT_MS;
  }

  /** Starts calling the leader periodically. */
  startPinging(): void {
    this.#pingTimer = this.#options.clock.every(PING_PERIOD_MS, () => {
      const deadlineMs = this.#options.clock.nowMs() + PING_PERIOD_MS;
      void this.call({ kind: "ping" }, { deadlineMs });
    });
  }

  /** Replaces the instances of the settings among those that are tried. */
  setSeeds(seedIds: readonly string[]): void {
    this.#seedIds = seedIds;
    this.#candidates = [...new Set([...seedIds, ...this.#candidates])];
  }

  /**
   * Sends a call to the leader, more than once if needed until its deadline.
   */
  async call(
    call: JobCall,
    options: { deadlineMs: number },
  ): Promise<LeaderCallResult> {
    const { clock } = this.#options;
    const beganAtMs = clock.nowMs();
    const attempts = new AttemptLog();
    let mayHaveTakenEffect = false;
    for (;;) {
      const leftMs = options.deadlineMs - clock.nowMs();
      const shouldGiveUp = leftMs <= 0 ||
        (!shouldRetryWhenIsolated(call, mayHaveTakenEffect) &&
          this.isIsolated());
      if (shouldGiveUp) {
        this.#logGivenUp(call, { mayHaveTakenEffect, leftMs, attempts });
        return { kind: mayHaveTakenEffect ? "unknown" : "notTaken" };
      }
      const target = this.#nextTarget();
      const timeoutMs = Math.min(leftMs, ATTEMPT_TIMEOUT_MS);
      const result = await this.#options.transport.call(target, call, {
        timeoutMs,
      });
      const answer = result.caseOf<JobAnswer | "notTaken" | "unknown">({
        Left: (error) => error.kind === "unavailable" ? "notTaken" : "unknown",
        Right: (received) => received,
      });
      attempts.add(target, typeof answer === "string" ? answer : answer.kind);
      if (typeof answer === "string") {
        mayHaveTakenEffect ||= answer === "unknown";
        this.#leaderId = undefined;
      } else if (answer.kind === "notLeader") {
        this.#lastAnswerAtMs = clock.nowMs();
        this.#followHint(target, answer);
      } else if (answer.kind === "unknown") {
        mayHaveTakenEffect = true;
        this.#leaderId = undefined;
      } else {
        this.#leaderId = target;
        this.#leaderAnsweredAtMs = clock.nowMs();
        this.#lastAnswerAtMs = this.#leaderAnsweredAtMs;
        this.#logCancel(call, { answer, beganAtMs, attempts });
        return { kind: "answered", answer };
      }
      if (this.#leaderId === undefined) {
        await this.#delay(RETRY_DELAY_MS);
      }
    }
  }

  async close(): Promise<void> {
    this.#pingTimer?.close();
    await this.#options.transport.close();
  }

  #logGivenUp(
    call: JobCall,
    options: {
      mayHaveTakenEffect: boolean;
      leftMs: number;
      attempts: AttemptLog;
    },
  ): void {
    if (call.kind === "ping") {
      return;
    }
    const { mayHaveTakenEffect, leftMs, attempts } = options;
    const name = mayHaveTakenEffect
      ? "batchCallUnanswered"
      : "batchCallUnavailable";
    this.#options.events.emit(name, {
      jobId: "jobId" in call ? call.jobId : undefined,
      call: call.kind,
      leftMs: Math.round(leftMs),
      leaderId: this.#leaderId,
      reachedAgoMs: Math.round(
        this.#options.clock.nowMs() - this.#lastAnswerAtMs,
      ),
      attempts: attempts.toString(),
    });
  }

  #logCancel(
    call: JobCall,
    { answer, beganAtMs, attempts }: {
      answer: JobAnswer;
      beganAtMs: number;
      attempts: AttemptLog;
    },
  ): void {
    if (call.kind === "cancel") {
      const { clock, events } = this.#options;
      events.emit("batchCancelAnswered", {
        jobId: call.jobId,
        answer: answer.kind,
        tookMs: Math.round(clock.nowMs() - beganAtMs),
        leaderId: this.#leaderId,
        attempts: attempts.toString(),
      });
    }
  }

  #nextTarget(): string {
    if (this.#leaderId !== undefined) {
      return this.#leaderId;
    }
    this.#candidateIndex += 1;
    return this.#candidates[this.#candidateIndex % this.#candidates.length]!;
  }

  #followHint(
    from: string,
    { leaderId, memberIds }: Extract<JobAnswer, { kind: "notLeader" }>,
  ): void {
    this.#leaderId = leaderId === from ? undefined : leaderId;
    if (memberIds.length > 0) {
      this.#candidates = [
        ...new Set([...memberIds, ...this.#seedIds]),
      ];
    }
  }

  #delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.after(delayMs, resolve);
    });
  }
}
