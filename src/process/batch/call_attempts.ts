/**
 * The attempts of one call to the leader. An attempt stays open while others are
 * made, so that the answer of an instance which is slow isn't lost.
 *
 * @module
 */

import type { Clock } from "../../base/clock.ts";
import type { CallTransport } from "./call_transport.ts";
import type { JobAnswer, JobCall } from "./job_call.ts";

/** Options of {@link CallAttempts}. */
export interface CallAttemptsOptions {
  readonly transport: CallTransport;
  readonly clock: Clock;
  readonly call: JobCall;
  /** When the call is given up. */
  readonly deadlineMs: number;
}

/** An attempt that has ended. */
export interface EndedAttempt {
  readonly instanceId: string;
  readonly beganAtMs: number;
  /**
   * The answer, or whether the instance may have carried out the call without
   * answering: `notTaken` or `unknown`.
   */
  readonly outcome: JobAnswer | "notTaken" | "unknown";
}

interface OpenAttempt {
  readonly instanceId: string;
  readonly beganAtMs: number;
  /** Whether the instance may have received the call. */
  isSent: boolean;
}

/** Maximum number of attempts that a description names. */
const DESCRIBED_LIMIT = 12;

/** The attempts of one call. */
export class CallAttempts {
  readonly #options: CallAttemptsOptions;
  readonly #abort = new AbortController();
  readonly #open = new Set<OpenAttempt>();
  readonly #ended: EndedAttempt[] = [];
  readonly #described: string[] = [];
  #endedCount = 0;
  #hasUnknownOutcome = false;
  #wake: (() => void) | undefined;

  constructor(options: CallAttemptsOptions) {
    this.#options = options;
  }

  /** Whether an attempt has ended that {@link next} hasn't returned yet. */
  get hasEnded(): boolean {
    return this.#ended.length > 0;
  }

  /** Whether an instance may have carried out the call without answering. */
  get mayHaveTakenEffect(): boolean {
    return this.#hasUnknownOutcome ||
      [...this.#open].some(({ isSent }) => isSent);
  }

  /** How many attempts have ended. */
  get endedCount(): number {
    return this.#endedCount;
  }

  /**
   * How long the latest open attempt at the instance has waited; undefined if
   * none is open there.
   */
  waitedAt(instanceId: string): number | undefined {
    const beganAtMs = [...this.#open]
      .filter((attempt) => attempt.instanceId === instanceId)
      .reduce((latest, attempt) => Math.max(latest, attempt.beganAtMs), -1);
    return beganAtMs < 0 ? undefined : this.#options.clock.nowMs() - beganAtMs;
  }

  /** Sends the call to an instance. */
  begin(instanceId: string): void {
    const beganAtMs = this.#options.clock.nowMs();
    const attempt = { instanceId, beganAtMs, isSent: false };
    this.#open.add(attempt);
    void this.#send(attempt);
  }

  /** Waits for the next attempt to end; returns undefined after `waitMs`. */
  async next(waitMs: number): Promise<EndedAttempt | undefined> {
    if (!this.hasEnded) {
      await new Promise<void>((resolve) => {
        const timer = this.#options.clock.after(waitMs, resolve);
        this.#wake = () => {
          timer.close();
          resolve();
        };
      });
      this.#wake = undefined;
    }
    return this.#ended.shift();
  }

  /** Abandons the open attempts. */
  close(): void {
    this.#abort.abort();
  }

  /**
   * The last attempts as `<instance>:<outcome>`, after the number of those left
   * out.
   */
  describe(): string {
    const leftOut = this.#endedCount - this.#described.length;
    return [
      ...(leftOut > 0 ? [`+${leftOut}`] : []),
      ...this.#described,
      ...[...this.#open].map(({ instanceId }) => `${instanceId}:open`),
    ].join(" ");
  }

  async #send(attempt: OpenAttempt): Promise<void> {
    const { instanceId, beganAtMs } = attempt;
    const { transport, call, deadlineMs } = this.#options;
    const result = await transport.call(instanceId, call, {
      timeoutMs: deadlineMs - beganAtMs,
      signal: this.#abort.signal,
      onSending: () => {
        attempt.isSent = true;
      },
    });
    const outcome = result.caseOf<EndedAttempt["outcome"]>({
      Left: (error) => error.kind === "unavailable" ? "notTaken" : "unknown",
      Right: (answer) => answer,
    });
    this.#open.delete(attempt);
    this.#ended.push({ instanceId, beganAtMs, outcome });
    const name = typeof outcome === "string" ? outcome : outcome.kind;
    this.#hasUnknownOutcome ||= name === "unknown";
    this.#describeEnd(instanceId, name);
    this.#wake?.();
  }

  #describeEnd(instanceId: string, name: string): void {
    this.#endedCount += 1;
    this.#described.push(`${instanceId}:${name}`);
    if (this.#described.length > DESCRIBED_LIMIT) {
      this.#described.shift();
    }
  }
}
