/**
 * The leader's tie to one life of a worker: renews the lease of all that runs
 * there, learns what runs and what ended, and knows when a silent worker's
 * runs are gone for certain.
 *
 * @module
 */

import type { Clock, Timer } from "../../../base/clock.ts";
import type { WorkerRecord } from "../batch_command.ts";
import type { BatchTiming } from "../batch_timing.ts";
import type { WorkerCalls, WorkerReport } from "../worker_calls.ts";

/** A moment of the worker's clock, and of this process's when it was heard. */
interface ClockSample {
  readonly workerMs: number;
  readonly heardAtMs: number;
}

/** What a link is made from. */
export interface WorkerLinkOptions {
  readonly worker: WorkerRecord;
  readonly calls: WorkerCalls;
  readonly clock: Clock;
  readonly timing: BatchTiming;
  readonly epoch: number;
  /** The longest lease that others may have given to this life until now. */
  readonly earlierLeaseMs: number;
  /** Whether this leader may still give leases. */
  readonly mayLead: () => boolean;
  /** Stores what ended; resolves once it is stored, or can't be. */
  readonly onReport: (
    link: WorkerLink,
    report: WorkerReport,
    sentAtMs: number,
  ) => Promise<void>;
  /** The worker answered again, or stopped answering. */
  readonly onReach: (link: WorkerLink, detail: string | undefined) => void;
}

/** The tie to one life of a worker. */
export class WorkerLink {
  readonly #options: WorkerLinkOptions;
  worker: WorkerRecord;
  #sample: ClockSample | undefined;
  /** By this process's clock, when the last lease given has run out. */
  #leasesEndAtMs: number;
  #notedEnd = 0;
  #failures = 0;
  #refusedConnections = 0;
  #hasReported = false;
  #isClosed = false;
  #pause: { timer: Timer; resume: () => void } | undefined;

  constructor(options: WorkerLinkOptions) {
    this.#options = options;
    this.worker = options.worker;
    // An earlier leader may have given a lease until just now.
    this.#leasesEndAtMs = this.#leaseEndBoundMs(options.earlierLeaseMs);
    void this.#run();
  }

  /** Whether a report of this life of the worker came in this epoch. */
  get hasReported(): boolean {
    return this.#hasReported;
  }

  get isReachable(): boolean {
    return this.#hasReported && this.#failures === 0;
  }

  get notedEnd(): number {
    return this.#notedEnd;
  }

  /** Nothing listens at the worker's address: this life is over. */
  get isGone(): boolean {
    return this.#refusedConnections >= REFUSED_CONNECTIONS_LIMIT;
  }

  /** Whether all leases have run out, so that nothing runs there any more. */
  hasLapsed(nowMs: number): boolean {
    return nowMs >= this.#leasesEndAtMs;
  }

  /** Ends up to this number are stored. */
  noteEnds(number: number): void {
    this.#notedEnd = Math.max(this.#notedEnd, number);
  }

  /** Takes a moment of the worker's clock from any of its messages. */
  noteClock(workerMs: number | undefined): void {
    const heardAtMs = this.#options.clock.nowMs();
    if (workerMs !== undefined && workerMs >= this.#workerNowMs(heardAtMs)) {
      this.#sample = { workerMs, heardAtMs };
    }
  }

  /** The end of a lease given now, by the worker's clock. */
  nextLeaseEndMs(): number | undefined {
    if (this.#sample === undefined) {
      return undefined;
    }
    const nowMs = this.#options.clock.nowMs();
    this.#leasesEndAtMs = Math.max(
      this.#leasesEndAtMs,
      this.#leaseEndBoundMs(this.#leaseMs()),
    );
    return Math.floor(this.#workerNowMs(nowMs) + this.#leaseMs());
  }

  /** Asks for a report at once where the link is pausing. */
  wake(): void {
    this.#pause?.resume();
  }

  close(): void {
    this.#isClosed = true;
    this.wake();
  }

  #leaseMs(): number {
    const { timing } = this.#options;
    return Math.min(timing.leaseMs, timing.leaseLimitMs);
  }

  #leaseEndBoundMs(leaseMs: number): number {
    const { clock, timing } = this.#options;
    return clock.nowMs() + leaseMs * (1 + 2 * timing.clockDrift) +
      timing.lapseSlackMs;
  }

  /** At most what the worker's clock shows now. */
  #workerNowMs(nowMs: number): number {
    if (this.#sample === undefined) {
      return 0;
    }
    const { workerMs, heardAtMs } = this.#sample;
    return workerMs +
      (nowMs - heardAtMs) * (1 - this.#options.timing.clockDrift);
  }

  async #run(): Promise<void> {
    const { timing, mayLead } = this.#options;
    while (!this.#isClosed) {
      const pauseMs = mayLead() ? await this.#renew() : timing.tickMs;
      if (pauseMs > 0 && !this.#isClosed) {
        await this.#sleep(pauseMs);
      }
    }
  }

  /** Gives the pause until the next renewal. */
  async #renew(): Promise<number> {
    const { calls, clock, timing, epoch } = this.#options;
    const sentAtMs = clock.nowMs();
    const waitMs = this.#hasReported && this.#failures === 0
      ? timing.reportWaitMs
      : 0;
    const answer = await calls.lease(this.worker, {
      epoch,
      // Without a lease while the worker is silent, so that its runs end.
      leaseEndMs: this.isReachable ? this.nextLeaseEndMs() : undefined,
      notedEnd: this.#notedEnd,
      waitMs,
    }, { timeoutMs: waitMs + timing.reportSlackMs });
    if (this.#isClosed) {
      return 0;
    }
    return await answer.caseOf({
      Left: (error) => Promise.resolve(this.#noteFailure(error.kind)),
      Right: (report) => this.#noteReport(report, sentAtMs),
    });
  }

  async #noteReport(report: WorkerReport, sentAtMs: number): Promise<number> {
    const { bornMs } = this.worker;
    if (bornMs !== 0 && report.bornMs !== 0 && report.bornMs !== bornMs) {
      return this.#noteFailure("unavailable");
    }
    const isBack = !this.#hasReported || this.#failures > 0;
    this.#failures = 0;
    this.#refusedConnections = 0;
    this.#hasReported = true;
    this.noteClock(report.clockMs);
    if (isBack) {
      this.#options.onReach(this, undefined);
    }
    await this.#options.onReport(this, report, sentAtMs);
    return 0;
  }

  #noteFailure(kind: string): number {
    const { timing, onReach } = this.#options;
    this.#failures += 1;
    this.#refusedConnections = kind === "unavailable"
      ? this.#refusedConnections + 1
      : 0;
    if (this.#failures === 1 || this.isGone) {
      onReach(this, kind);
    }
    return Math.min(
      timing.renewRetryLimitMs,
      timing.renewRetryMs * 2 ** Math.min(this.#failures, 5),
    );
  }

  #sleep(pauseMs: number): Promise<void> {
    return new Promise((resolve) => {
      const resume = () => {
        timer.close();
        this.#pause = undefined;
        resolve();
      };
      const timer = this.#options.clock.after(pauseMs, resume);
      this.#pause = { timer, resume };
    });
  }
}

/** Refused connections in a row that prove that a worker's process is gone. */
const REFUSED_CONNECTIONS_LIMIT = 2;
