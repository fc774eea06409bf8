/**
 * Remembers the callers that were refused, and keeps places for those who return
 * at the time they were told.
 *
 * Load condition: a bound stays reached for longer than one retry time. Without
 * this, a place that becomes free goes to whoever calls next, and new callers
 * are more than those who return.
 *
 * Memory of one leader: its successor takes returning callers for new ones,
 * which costs each of them one more refusal.
 *
 * @module
 */

import type { ClientAccountId, JobId } from "../../../base/identity.ts";

/** Maximum number of refused jobs that are remembered. */
const ENTRIES_LIMIT = 4_096;

/** A place is kept for this long after the time that a caller was told. */
const GRACE_MS = 3_000;

/** Callers round: one that is early by no more than this returns in time. */
const EARLY_MS = 500;

/** A refused job. */
interface Refusal {
  readonly firstRefusedAtMs: number;
  readonly returnAtMs: number;
  /** How often its caller has returned when it was told to. */
  readonly returns: number;
  /** The share of the bound up to which it is accepted when it returns. */
  readonly share: number;
  readonly tasks: number;
  readonly account: ClientAccountId | undefined;
}

/** Places that are kept for others. */
export interface ReservedPlaces {
  readonly jobs: number;
  readonly tasks: number;
}

/** The refused jobs, by ID. */
export class RefusedCallers {
  readonly #refusals = new Map<JobId, Refusal>();

  get size(): number {
    return this.#refusals.size;
  }

  /**
   * How often the caller of a job has returned when it was told to, counting
   * this call.
   */
  returnsOf(jobId: JobId, nowMs: number): number {
    const refusal = this.#refusals.get(jobId);
    if (refusal === undefined || isOver(refusal, nowMs)) {
      return 0;
    }
    return refusal.returns + (isDue(refusal, nowMs) ? 1 : 0);
  }

  /**
   * The places that are kept for jobs that were refused before this one, may
   * return now, and are accepted up to the same share of the bound. A job that
   * returns too early is treated like a new one.
   */
  reservedBefore(
    jobId: JobId,
    { nowMs, share }: { nowMs: number; share: number },
  ): ReservedPlaces {
    const own = this.#refusals.get(jobId);
    const sinceMs = own !== undefined && isDue(own, nowMs)
      ? own.firstRefusedAtMs
      : Infinity;
    let jobs = 0;
    let tasks = 0;
    for (const [id, refusal] of this.#refusals) {
      const isBefore = id !== jobId && refusal.firstRefusedAtMs < sinceMs;
      if (isBefore && refusal.share >= share && isDue(refusal, nowMs)) {
        jobs += 1;
        tasks += refusal.tasks;
      }
    }
    return { jobs, tasks };
  }

  /**
   * Records a refusal. Returns the seconds that the caller is told to wait:
   * those given, or what is left of an earlier answer if it came back too early,
   * so that nobody gains by calling more often.
   */
  record(
    jobId: JobId,
    refused: {
      nowMs: number;
      retryAfterS: number;
      share: number;
      tasks: number;
      account?: ClientAccountId | undefined;
    },
  ): number {
    const { nowMs, retryAfterS, share, tasks, account } = refused;
    const earlier = this.#refusals.get(jobId);
    const isKnown = earlier !== undefined && !isOver(earlier, nowMs);
    if (isKnown && !isDue(earlier, nowMs)) {
      return Math.max(1, Math.ceil((earlier.returnAtMs - nowMs) / 1_000));
    }
    this.#refusals.delete(jobId);
    this.#makeRoom(nowMs);
    this.#refusals.set(jobId, {
      firstRefusedAtMs: isKnown ? earlier.firstRefusedAtMs : nowMs,
      returnAtMs: nowMs + retryAfterS * 1_000,
      returns: isKnown ? earlier.returns + 1 : 0,
      share,
      tasks,
      account,
    });
    return retryAfterS;
  }

  /** Forgets a job that was accepted. */
  forget(jobId: JobId): void {
    this.#refusals.delete(jobId);
  }

  /**
   * Drops refusals that are over. If none is, drops the one that was recorded
   * first of the client account that has most of them, so that an account that
   * submits ever new jobs doesn't make the leader forget the callers of others.
   */
  #makeRoom(nowMs: number): void {
    if (this.#refusals.size < ENTRIES_LIMIT) {
      return;
    }
    const counts = new Map<ClientAccountId | undefined, number>();
    for (const [id, refusal] of this.#refusals) {
      if (isOver(refusal, nowMs)) {
        this.#refusals.delete(id);
      } else {
        const { account } = refusal;
        counts.set(account, (counts.get(account) ?? 0) + 1);
      }
    }
    if (this.#refusals.size < ENTRIES_LIMIT) {
      return;
    }
    const [[most]] = [...counts].sort((a, b) => b[1] - a[1]) as [
      [ClientAccountId | undefined, number],
    ];
    for (const [id, { account }] of this.#refusals) {
      if (account === most) {
        this.#refusals.delete(id);
        return;
      }
    }
  }
}

function isDue({ returnAtMs }: Refusal, nowMs: number): boolean {
  return nowMs >= returnAtMs - EARLY_MS && nowMs <= returnAtMs + GRACE_MS;
}

function isOver({ returnAtMs }: Refusal, nowMs: number): boolean {
  return nowMs > returnAtMs + GRACE_MS;
}
