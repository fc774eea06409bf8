/**
 * What a leader remembers for shares by weight: the decayed use of each client
 * account, and the jobs beyond its rate. It isn't replicated. The next leader
 * begins with the present use and the live jobs, which costs fairness for about
 * one half-life.
 *
 * @module
 */

import type { ClientAccountId, JobId } from "../../../base/identity.ts";
import type { BatchState } from "../batch_state.ts";
import {
  dominantShare,
  hasWeights,
  poolCapacity,
  type ShareStandings,
  weightOf,
} from "../decisions/account_shares.ts";
import { ANONYMOUS_ACCOUNT } from "../decisions/account_usage.ts";
import type { ConfigurationIndex } from "../pool_configuration.ts";

/**
 * The half-life of an account's use. An account that submits one job a minute
 * must still be seen as using little when its next job comes.
 */
const HALF_LIFE_MS = 60_000;

/** A smaller average is dropped; it couldn't make a difference. */
const NEGLIGIBLE_SHARE = 1e-6;

/** Jobs that an account may still submit within its rate. */
interface RateBudget {
  tokens: number;
  filledAtMs: number;
}

/** The accounts' use and rates over the passes of one leader. */
export class ShareHistory implements ShareStandings {
  readonly #averages = new Map<ClientAccountId, number>();
  readonly #budgets = new Map<ClientAccountId, RateBudget>();
  /** The live jobs, and whether each was accepted beyond the rate. */
  #jobs = new Map<JobId, boolean>();
  #observedAtMs: number | undefined;

  readonly averageOf = (account: ClientAccountId): number =>
    this.#averages.get(account) ?? 0;

  readonly isBeyondRate = (jobId: JobId): boolean =>
    this.#jobs.get(jobId) === true;

  /** Takes the present state in, before a pass; returns the standings. */
  observe(state: BatchState, nowMs: number): ShareStandings | undefined {
    const index = state.inForce?.index;
    if (index === undefined || !hasWeights(index)) {
      return undefined;
    }
    this.#observeUse(state, nowMs);
    this.#observeJobs(state, index);
    this.#admitOldest(state, { index, nowMs });
    return this;
  }

  /** Averages the use since the last pass in; the first time it is the average. */
  #observeUse(state: BatchState, nowMs: number): void {
    const { totals } = state.accountUsage;
    const capacity = poolCapacity(state);
    const elapsedMs = this.#observedAtMs === undefined
      ? Infinity
      : Math.max(0, nowMs - this.#observedAtMs);
    const kept = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    this.#observedAtMs = nowMs;
    for (
      const account of new Set([...totals.keys(), ...this.#averages.keys()])
    ) {
      const used = totals.get(account);
      const present = used === undefined ? 0 : dominantShare(used, capacity);
      const average = this.averageOf(account) * kept + present * (1 - kept);
      if (average < NEGLIGIBLE_SHARE) {
        this.#averages.delete(account);
      } else {
        this.#averages.set(account, average);
      }
    }
  }

  /** Classifies the jobs that were accepted since the last pass, in order. */
  #observeJobs(state: BatchState, index: ConfigurationIndex): void {
    const jobs = new Map<JobId, boolean>();
    for (const { id, account, acceptedAtMs } of state.liveJobs.values()) {
      const isBeyond = this.#jobs.get(id) ??
        !this.#takeToken(account ?? ANONYMOUS_ACCOUNT, acceptedAtMs, index);
      jobs.set(id, isBeyond);
    }
    this.#jobs = jobs;
  }

  /**
   * Counts the oldest jobs beyond the rate as within it, as far as their account
   * leaves its rate unused since: a job of a short burst would otherwise come
   * after all others for as long as it lives.
   */
  #admitOldest(
    state: BatchState,
    { index, nowMs }: { index: ConfigurationIndex; nowMs: number },
  ): void {
    for (const { id, account = ANONYMOUS_ACCOUNT } of state.liveJobs.values()) {
      // A full budget: what else comes now would be lost.
      if (
        this.#jobs.get(id) === true &&
        this.#fill(account, nowMs, index).tokens >= burstOf(index, account)
      ) {
        this.#takeToken(account, nowMs, index);
        this.#jobs.set(id, false);
      }
    }
  }

  /** Takes one of the account's `weight` jobs a second, if one is left. */
  #takeToken(
    account: ClientAccountId,
    atMs: number,
    index: ConfigurationIndex,
  ): boolean {
    const budget = this.#fill(account, atMs, index);
    const isWithin = budget.tokens >= 1;
    budget.tokens -= isWithin ? 1 : 0;
    return isWithin;
  }

  /** The account's budget, filled up to a time. */
  #fill(
    account: ClientAccountId,
    atMs: number,
    index: ConfigurationIndex,
  ): RateBudget {
    const weight = weightOf(index, account);
    const limit = burstOf(index, account);
    const budget = this.#budgets.get(account) ??
      { tokens: limit, filledAtMs: atMs };
    const elapsedMs = Math.max(0, atMs - budget.filledAtMs);
    const filled = budget.tokens + weight * elapsedMs / 1_000;
    budget.tokens = Math.min(limit, filled);
    budget.filledAtMs = Math.max(atMs, budget.filledAtMs);
    this.#budgets.set(account, budget);
    return budget;
  }
}

/** The jobs of an account that are within its rate at once: one at least. */
function burstOf(index: ConfigurationIndex, account: ClientAccountId): number {
  return Math.max(1, weightOf(index, account));
}
