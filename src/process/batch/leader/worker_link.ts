/**
 * The leader's link to one worker incarnation: renews the lease of all runs
 * there, receives reports of running and ended runs, and knows when the runs of
 * a worker that doesn't answer have certainly ended.
 *
 * @module
 */

import type { Clock, Timer } from "../../../base/clock.ts";
import type { WorkerRecord } from "../batch_command.ts";
import { type BatchTiming, leaseBoundMs } from "../batch_timing.ts";
import type { WorkerCalls, WorkerReport } from "../worker_calls.ts";

/** A reading of the worker's clock, and when it arrived by the steady clock. */
interface ClockSample {
  readonly workerMs: number;
  readonly receivedAtMs: number;
}

/** Options of {@link WorkerLink}. */
export interface WorkerLinkOptions {
  readonly worker: WorkerRecord;
  readonly calls: WorkerCalls;
  readonly clock: Clock;
  readonly timing: BatchTiming;
  /** The fence of all orders to this incarnation, once it has answered. */
  readonly fence: number;
  /** A higher fence than all at the address, unless another one is known there. */
  readonly nextFence?: () => number | undefined;
  /**
   * The fence until then; the same by default. The incarnation before may still
   * be at the address, and has to accept the orders to itself afterwards.
   */
  readonly probeFence?: number;
  /** Whether this leader may still grant leases. */
  readonly mayLead: () => boolean;
  /** Stores a report's ends; resolves once they are stored, or can't be. */
  readonly onReport: (
    link: WorkerLink,
    report: WorkerReport,
    sentAtMs: number,
  ) => Promise<void>;
  /**
   * Called without a detail when the worker answers for the first time or
   * again; with the kind of error when it stops answering, and at each failed
   * renewal while it is absent.
   */
  readonly onReachabilityChange: (
    link: WorkerLink,
    detail: string | undefined,
  ) => void;
}

/** The link to one worker incarnation; calls it once it is started. */
export class WorkerLink {
  readonly #options: WorkerLinkOptions;
  worker: WorkerRecord;
  #sample: ClockSample | undefined;
  /** When all granted leases have expired, by the steady clock. */
  #leasesEndAtMs: number;
  #acknowledgedEnd = 0;
  #failures = 0;
  #refusedConnections = 0;
  #isSuperseded = false;
  /** Whether a process with another start has answered. */
  #hasMetOther = false;
  #mayGrantLeases = true;
  #hasReported = false;
  #hasProvenStart = false;
  /** Whether late orders for the incarnation before are refused here. */
  #hasBarredLateOrders = false;
  #fence: number;
  /** When it became doubtful that this incarnation is still at its address. */
  #doubtedAtMs: number | undefined;
  #isClosed = false;
  #delay: { timer: Timer; resume: () => void } | undefined;

  constructor(options: WorkerLinkOptions) {
    this.#options = options;
    this.worker = options.worker;
    this.#fence = options.fence;
    // An earlier leader may have granted a lease just before this moment. The
    // worker may also have received a start meant for an earlier incarnation,
    // whose lease ends by another clock, and so hold the longest lease.
    this.#leasesEndAtMs = this.#longestLeaseEndMs();
  }

  /** Renews the lease from now on, until the link is closed. */
  start(): void {
    void this.#run();
  }

  /** The fence of all orders to this incarnation. */
  get fence(): number {
    const { probeFence = this.#fence } = this.#options;
    return this.#hasReported ? this.#fence : probeFence;
  }

  /** Whether this incarnation has reported in this epoch. */
  get hasReported(): boolean {
    return this.#hasReported;
  }

  /** Whether a report named this incarnation's start: it was at its address. */
  get hasProvenStart(): boolean {
    return this.#hasProvenStart;
  }

  get isReachable(): boolean {
    return this.#hasReported && this.#failures === 0 &&
      this.#doubtedAtMs === undefined;
  }

  get acknowledgedEnd(): number {
    return this.#acknowledgedEnd;
  }

  /** Whether a later incarnation answered at the address: this one is over. */
  get isSuperseded(): boolean {
    return this.#isSuperseded;
  }

  /**
   * Whether the worker's record is of no use: its incarnation is over, or no
   * lease is left and its address refuses connections or it was draining. A
   * refused connection alone proves nothing, since a network can refuse it while
   * the worker runs on.
   */
  get isAbsent(): boolean {
    const isExpected = this.worker.isDraining ||
      this.#refusedConnections >= REFUSED_CONNECTIONS_LIMIT;
    return this.#isSuperseded || (this.isSilent && isExpected);
  }

  /** Whether it doesn't answer and no lease is left. */
  get isSilent(): boolean {
    return !this.isReachable && this.haveLeasesExpired();
  }

  /** Whether all leases have expired, so that nothing runs there any more. */
  haveLeasesExpired(): boolean {
    return this.#options.clock.steadyMs() >= this.#leasesEndAtMs;
  }

  /** Records that ends up to this number are stored. */
  acknowledgeEnds(number: number): void {
    this.#acknowledgedEnd = Math.max(this.#acknowledgedEnd, number);
  }

  /** Records that the worker answered a call with the given fence. */
  recordAnswer(
    { clockMs, fence }: { clockMs: number | undefined; fence: number },
  ): void {
    if (!this.#hasBarredLateOrders) {
      // Calls meant for an earlier incarnation may have come first: the worker
      // took their leases for its own.
      this.#leasesEndAtMs = this.#longestLeaseEndMs();
      this.#hasBarredLateOrders = fence === this.#fence;
    }
    this.#recordClock(clockMs);
  }

  /** Records a reading of the worker's clock, unless it is out of date. */
  #recordClock(workerMs: number | undefined): void {
    const receivedAtMs = this.#options.clock.steadyMs();
    if (workerMs !== undefined && workerMs >= this.clockBoundMs()) {
      this.#sample = { workerMs, receivedAtMs };
    }
  }

  /**
   * The end of a lease granted now, by the worker's clock; undefined while that
   * clock isn't known or no more leases are granted. Counts the lease as granted.
   */
  nextLeaseEndMs(): number | undefined {
    if (this.#sample === undefined || !this.#mayGrantLeases) {
      return undefined;
    }
    this.#leasesEndAtMs = Math.max(
      this.#leasesEndAtMs,
      this.#options.clock.steadyMs() +
        leaseBoundMs(this.#leaseMs(), this.#options.timing),
    );
    return Math.floor(this.clockBoundMs() + this.#leaseMs());
  }

  /** A lower bound on what the worker's clock shows now; 0 if it is unknown. */
  clockBoundMs(): number {
    if (this.#sample === undefined) {
      return 0;
    }
    const { clock, timing } = this.#options;
    const { workerMs, receivedAtMs } = this.#sample;
    const elapsedMs = clock.steadyMs() - receivedAtMs;
    return workerMs + elapsedMs * (1 - timing.clockDriftFraction);
  }

  /**
   * Takes the worker for unreachable until it answers a further call, since
   * another incarnation was announced at its address.
   */
  doubt(): void {
    const wasReachable = this.isReachable;
    this.#doubtedAtMs = this.#options.clock.nowMs();
    if (wasReachable) {
      this.#options.onReachabilityChange(this, "otherAnnounced");
    }
  }

  /** Lets the leases run out, since the worker is about to end. */
  stopGrantingLeases(): void {
    this.#mayGrantLeases = false;
  }

  /** Ends the delay before the next renewal. */
  wake(): void {
    this.#delay?.resume();
  }

  close(): void {
    this.#isClosed = true;
    this.wake();
  }

  #leaseMs(): number {
    const { timing } = this.#options;
    return Math.min(timing.leaseMs, timing.leaseLimitMs);
  }

  /** The end of the longest lease that the worker may hold now. */
  #longestLeaseEndMs(): number {
    const { clock, timing } = this.#options;
    return clock.steadyMs() + leaseBoundMs(timing.leaseLimitMs, timing);
  }

  async #run(): Promise<void> {
    const { timing, mayLead } = this.#options;
    while (!this.#isClosed) {
      const delayMs = mayLead() ? await this.#renewSafely() : timing.tickMs;
      if (delayMs > 0 && !this.#isClosed) {
        await this.#sleep(delayMs);
      }
    }
  }

  /** Counts an unexpected error as a failed renewal, so that the next follows. */
  async #renewSafely(): Promise<number> {
    try {
      return await this.#renew();
    } catch (error) {
      return this.#recordFailure(String(error));
    }
  }

  /** Renews the lease; returns the delay until the next renewal. */
  async #renew(): Promise<number> {
    const { calls, clock, timing } = this.#options;
    const sentAtMs = clock.nowMs();
    const { isReachable, fence } = this;
    const waitMs = isReachable ? timing.reportWaitMs : 0;
    const answer = await calls.lease(this.worker, {
      fence,
      // An unreachable worker gets no lease, so that its runs end. Its number
      // would acknowledge ends of the next incarnation.
      leaseEndMs: isReachable ? this.nextLeaseEndMs() : undefined,
      acknowledgedUpTo: isReachable ? this.#acknowledgedEnd : 0,
      waitMs,
    }, { timeoutMs: waitMs + timing.reportSlackMs });
    if (this.#isClosed) {
      return 0;
    }
    return await answer.caseOf({
      Left: (error) => Promise.resolve(this.#recordFailure(error.kind)),
      Right: (report) => this.#handleReport(report, { sentAtMs, fence }),
    });
  }

  async #handleReport(
    report: WorkerReport,
    { sentAtMs, fence }: { sentAtMs: number; fence: number },
  ): Promise<number> {
    const { bornMs } = this.worker;
    // A record without a start isn't of a process that reports one.
    if (report.bornMs !== 0 && report.bornMs !== bornMs) {
      return this.#recordOther(report.bornMs);
    }
    const wasReachable = this.isReachable;
    if (this.#doubtedAtMs !== undefined && sentAtMs >= this.#doubtedAtMs) {
      this.#doubtedAtMs = undefined;
    }
    this.#failures = 0;
    this.#refusedConnections = 0;
    this.#hasReported = true;
    this.#hasProvenStart ||= bornMs !== 0 && report.bornMs === bornMs;
    this.recordAnswer({ clockMs: report.clockMs, fence });
    if (this.isReachable && !wasReachable) {
      this.#options.onReachabilityChange(this, undefined);
    }
    await this.#options.onReport(this, report, sentAtMs);
    return 0;
  }

  /** Bars late starts from another incarnation by a further call at once. */
  #recordOther(bornMs: number): number {
    // One without a start may be that process, so its leases have to run out.
    this.#isSuperseded ||= this.worker.bornMs !== 0 &&
      bornMs > this.worker.bornMs;
    const isFirst = !this.#hasMetOther;
    this.#hasMetOther = true;
    const delayMs = this.#recordFailure("otherIncarnation");
    if (isFirst) {
      this.#raiseFence();
    }
    return isFirst ? 0 : delayMs;
  }

  #raiseFence(): void {
    this.#fence = this.#options.nextFence?.() ?? this.#fence;
  }

  #recordFailure(kind: string): number {
    const { timing, onReachabilityChange } = this.#options;
    this.#failures += 1;
    this.#refusedConnections = kind === "unavailable"
      ? this.#refusedConnections + 1
      : 0;
    if (this.#failures === 1 || this.isAbsent) {
      onReachabilityChange(this, kind);
    }
    if (this.#refusedConnections === 1) {
      // Perhaps it has crashed: the next call that arrives bars all late starts.
      this.#raiseFence();
    }
    return Math.min(
      this.#refusedConnections > 0
        ? timing.refusedRetryDelayMs
        : timing.renewRetryDelayLimitMs,
      timing.renewRetryDelayMs * 2 ** Math.min(this.#failures, 5),
    );
  }

  #sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      const resume = () => {
        timer.close();
        this.#delay = undefined;
        resolve();
      };
      const timer = this.#options.clock.after(delayMs, resume);
      this.#delay = { timer, resume };
    });
  }
}

/** Refused connections in a row after which nothing listens at an address. */
const REFUSED_CONNECTIONS_LIMIT = 2;
