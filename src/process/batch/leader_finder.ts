/**
 * Finds the leader among the instances that replicate the scheduler's state,
 * and sends calls to it within their deadline.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import { CallAttempts, type EndedAttempt } from "./call_attempts.ts";
import type { CallTransport } from "./call_transport.ts";
import type { JobAnswer, JobCall } from "./job_call.ts";
import { ResendBudget } from "./resend_budget.ts";

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
 * How long the leader may take before another instance is asked, too: a round trip
 * between regions and a commit on a slow disk. The first attempt stays open: a
 * busy leader would be asked again and again, and none of its answers awaited.
 */
const ATTEMPT_PATIENCE_MS = 700;

/**
 * An instance that hasn't answered for this long may be sent the call again: its
 * connection may have been lost silently.
 */
const OVERDUE_MS = 1_000;

/** How often a call checks whether another instance can be tried. */
const CHECK_PERIOD_MS = 60;

/** Hints that a call follows at once: two instances may name each other. */
const HINTS_AT_ONCE = 3;

/** The most instances that may be asked who leads: each that is gone delays. */
const CANDIDATES_LIMIT = 12;

/** The least time between two instances that are asked who leads. */
const SEARCH_PERIOD_MS = 100;

/** How often an instance that serves callers calls the leader. */
const PING_PERIOD_MS = 500;

/** How long a ping waits for an answer, which a busy leader delays. */
const PING_TIMEOUT_MS = 1_500;

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

/** The answer of an instance that leads; undefined for other outcomes. */
function leaderAnswerOf(
  outcome: EndedAttempt["outcome"],
): JobAnswer | undefined {
  const isAnswer = typeof outcome !== "string" &&
    outcome.kind !== "notLeader" && outcome.kind !== "unknown";
  return isAnswer ? outcome : undefined;
}

/**
 * Whether an answer holds: a rejection of a job doesn't, while another attempt
 * may have stored the job.
 */
function isCertain(
  call: JobCall,
  answer: JobAnswer,
  attempts: CallAttempts,
): boolean {
  return call.kind !== "submit" || answer.kind === "accepted" ||
    !attempts.mayHaveTakenEffect;
}

/** Sends calls from this instance to the leader. */
export class LeaderFinder {
  readonly #options: LeaderFinderOptions;
  #seedIds: readonly string[];
  #candidates: readonly string[];
  #leaderId: string | undefined;
  /** The instance that last answered as the leader, and when. */
  #latestAnswer: { instanceId: string; atMs: number } | undefined;
  /**
   * When any instance last answered; initially the start of this one, which
   * isn't isolated before it had time to get an answer.
   */
  #lastAnswerAtMs: number;
  #candidateIndex = 0;
  #nextSearchAtMs = 0;
  readonly #resends = new ResendBudget();
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
    const { clock } = this.#options;
    return this.#latestAnswer !== undefined &&
      clock.nowMs() - this.#latestAnswer.atMs < LEADER_CONTACT_TIMEOUT_MS;
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
      const deadlineMs = this.#options.clock.nowMs() + PING_TIMEOUT_MS;
      void this.call({ kind: "ping" }, { deadlineMs });
    });
  }

  /** Replaces the instances of the settings among those that are tried. */
  setSeeds(seedIds: readonly string[]): void {
    this.#seedIds = seedIds;
    this.#rememberMembers([]);
  }

  /**
   * Sends a call to the leader, to further instances if it doesn't answer, until
   * its deadline, or until `caller` is aborted: nobody waits for the answer then.
   */
  async call(
    call: JobCall,
    { deadlineMs, caller }: { deadlineMs: number; caller?: AbortSignal },
  ): Promise<LeaderCallResult> {
    const { transport, clock } = this.#options;
    const attempts = new CallAttempts({ transport, clock, call, deadlineMs });
    try {
      return await this.#callUntilAnswered(call, {
        attempts,
        deadlineMs,
        caller,
      });
    } finally {
      attempts.close();
    }
  }

  async #callUntilAnswered(
    call: JobCall,
    { attempts, deadlineMs, caller }: {
      attempts: CallAttempts;
      deadlineMs: number;
      caller: AbortSignal | undefined;
    },
  ): Promise<LeaderCallResult> {
    const { clock } = this.#options;
    const beganAtMs = clock.nowMs();
    for (;;) {
      const leftMs = deadlineMs - clock.nowMs();
      const isOver = caller?.aborted === true ||
        (!attempts.hasEnded && this.#shouldGiveUp(call, { attempts, leftMs }));
      if (isOver) {
        this.#logGivenUp(call, { leftMs, attempts });
        return { kind: attempts.mayHaveTakenEffect ? "unknown" : "notTaken" };
      }
      const target = attempts.hasEnded
        ? undefined
        : this.#chooseTarget(attempts);
      if (target !== undefined) {
        attempts.begin(target);
      }
      const ended = await attempts.next(Math.min(leftMs, CHECK_PERIOD_MS));
      if (ended === undefined) {
        continue;
      }
      const answer = leaderAnswerOf(ended.outcome);
      if (answer !== undefined) {
        this.#recordLeader(ended.instanceId);
        if (answer.kind === "leading") {
          this.#rememberMembers(answer.memberIds);
        }
        if (!isCertain(call, answer, attempts)) {
          this.#logGivenUp(call, { leftMs, attempts });
          return { kind: "unknown" };
        }
        this.#logCancel(call, { answer, beganAtMs, attempts });
        return { kind: "answered", answer };
      }
      this.#learnFrom(ended, attempts);
      const untilDeadlineMs = deadlineMs - clock.nowMs();
      const shouldDelay = attempts.endedCount > HINTS_AT_ONCE &&
        !attempts.hasEnded && untilDeadlineMs > 0;
      if (shouldDelay) {
        await this.#delay(Math.min(untilDeadlineMs, CHECK_PERIOD_MS));
      }
    }
  }

  async close(): Promise<void> {
    this.#pingTimer?.close();
    await this.#options.transport.close();
  }

  #shouldGiveUp(
    call: JobCall,
    { leftMs, attempts }: { leftMs: number; attempts: CallAttempts },
  ): boolean {
    const mayRetry = shouldRetryWhenIsolated(call, attempts.mayHaveTakenEffect);
    return leftMs <= 0 || (!mayRetry && this.isIsolated());
  }

  #logGivenUp(
    call: JobCall,
    { leftMs, attempts }: { leftMs: number; attempts: CallAttempts },
  ): void {
    if (call.kind === "ping") {
      return;
    }
    const name = attempts.mayHaveTakenEffect
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
      attempts: attempts.describe(),
    });
  }

  #logCancel(
    call: JobCall,
    { answer, beganAtMs, attempts }: {
      answer: JobAnswer;
      beganAtMs: number;
      attempts: CallAttempts;
    },
  ): void {
    if (call.kind === "cancel") {
      const { clock, events } = this.#options;
      events.emit("batchCancelAnswered", {
        jobId: call.jobId,
        answer: answer.kind,
        tookMs: Math.round(clock.nowMs() - beganAtMs),
        leaderId: this.#leaderId,
        attempts: attempts.describe(),
      });
    }
  }

  /**
   * The leader, or else the next candidate; undefined while the leader works on
   * the call, all candidates have it, or another call has just asked one.
   */
  #chooseTarget(attempts: CallAttempts): string | undefined {
    const leaderId = this.#leaderId;
    if (leaderId === undefined) {
      return this.#nextCandidate(attempts);
    }
    const waitedMs = attempts.waitedAt(leaderId);
    if (waitedMs === undefined) {
      return leaderId;
    }
    if (waitedMs < ATTEMPT_PATIENCE_MS) {
      return undefined;
    }
    if (waitedMs >= OVERDUE_MS && this.#resends.take()) {
      return leaderId;
    }
    if (this.#isResponsive(leaderId)) {
      return undefined;
    }
    // Lets other calls look for the leader, too.
    this.#leaderId = undefined;
    return this.#nextCandidate(attempts);
  }

  /**
   * The next instance to ask who leads. All calls search together: what one of
   * them learns holds for the others, and the instances that are asked may be
   * about to elect the next leader.
   */
  #nextCandidate(attempts: CallAttempts): string | undefined {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs < this.#nextSearchAtMs) {
      return undefined;
    }
    for (let tried = 0; tried < this.#candidates.length; tried++) {
      this.#candidateIndex += 1;
      const candidate = this
        .#candidates[this.#candidateIndex % this.#candidates.length]!;
      if (attempts.waitedAt(candidate) === undefined) {
        this.#nextSearchAtMs = nowMs + SEARCH_PERIOD_MS;
        return candidate;
      }
    }
    return undefined;
  }

  /** Whether the leader has answered some call a moment ago. */
  #isResponsive(leaderId: string): boolean {
    const sinceMs = this.#options.clock.nowMs() - ATTEMPT_PATIENCE_MS;
    return this.#hasAnsweredSince(leaderId, sinceMs);
  }

  #hasAnsweredSince(instanceId: string, sinceMs: number): boolean {
    return this.#latestAnswer?.instanceId === instanceId &&
      this.#latestAnswer.atMs >= sinceMs;
  }

  #recordLeader(instanceId: string): void {
    const nowMs = this.#options.clock.nowMs();
    this.#leaderId = instanceId;
    this.#latestAnswer = { instanceId, atMs: nowMs };
    this.#resends.earn();
    this.#lastAnswerAtMs = nowMs;
  }

  /** Learns who leads from an attempt that wasn't answered by the leader. */
  #learnFrom(ended: EndedAttempt, attempts: CallAttempts): void {
    const { instanceId, beganAtMs, outcome } = ended;
    if (typeof outcome !== "string" && outcome.kind === "notLeader") {
      this.#lastAnswerAtMs = this.#options.clock.nowMs();
      this.#followHint(ended, outcome, attempts);
      return;
    }
    const isOutdated = typeof outcome === "string" &&
      this.#hasAnsweredSince(instanceId, beganAtMs);
    if (this.#leaderId === instanceId && !isOutdated) {
      this.#leaderId = undefined;
    }
  }

  /**
   * Follows a hint, unless a leader has answered since the attempt began, or the
   * instance that it names has this call and doesn't answer.
   */
  #followHint(
    { instanceId, beganAtMs }: EndedAttempt,
    { leaderId, memberIds }: Extract<JobAnswer, { kind: "notLeader" }>,
    attempts: CallAttempts,
  ): void {
    this.#rememberMembers(memberIds);
    const isLeaderKnown = this.#leaderId !== undefined &&
      this.#leaderId !== instanceId &&
      this.#hasAnsweredSince(this.#leaderId, beganAtMs);
    if (isLeaderKnown) {
      return;
    }
    const isUseful = leaderId !== undefined && leaderId !== instanceId &&
      (attempts.waitedAt(leaderId) ?? OVERDUE_MS) >= OVERDUE_MS;
    if (isUseful) {
      this.#leaderId = leaderId;
    } else if (this.#leaderId === instanceId) {
      this.#leaderId = undefined;
    }
  }

  /**
   * Remembers members that an instance named, and some that others named before:
   * an instance that was cut off may name members that are gone.
   */
  #rememberMembers(memberIds: readonly string[]): void {
    const known = [...memberIds, ...this.#seedIds, ...this.#candidates];
    this.#candidates = [...new Set(known)].slice(0, CANDIDATES_LIMIT);
  }

  #delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.after(delayMs, resolve);
    });
  }
}
