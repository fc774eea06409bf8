/**
 * Checks what client accounts have running on workers against their limits.
 *
 * @module
 */

import { LIMITED_RESOURCES } from "../decisions/account_limits.ts";
import type { TaskDemand } from "../job_spec.ts";

/** The limits of one version of the configuration. */
export interface LimitVersion {
  readonly limits: Readonly<Record<string, TaskDemand>>;
  readonly sentAtMs: number;
  /** Undefined until the version is acknowledged. */
  acknowledgedAtMs?: number;
}

/** A run, whose key is used once. */
export interface AccountRun {
  readonly key: string;
  /** Undefined for a job without an account. */
  readonly account: string | undefined;
  readonly demand: TaskDemand;
}

/** By how much a start may exceed a limit, beside one task. */
const TOLERANCE = 0.1;

/** Counts runs from their starts to their ends, wherever they are. */
export class LimitOracle {
  readonly violations: string[] = [];
  readonly versions: LimitVersion[] = [];
  /** The highest share of a limit that was in use after a start. */
  highestShare = 0;
  readonly #lateMs: number;
  readonly #runs = new Map<string, AccountRun>();

  /** `lateMs` is how long after its commit a start may reach its worker. */
  constructor(options: { lateMs: number }) {
    this.#lateMs = options.lateMs;
  }

  start(run: AccountRun, atMs: number): void {
    const { account, demand, key } = run;
    this.#runs.set(key, run);
    if (account === undefined) {
      return;
    }
    for (const resource of LIMITED_RESOURCES) {
      const limit = this.#highestLimit(account, resource, atMs);
      const total = this.#total(account, resource);
      if (demand[resource] === 0 || limit === Infinity) {
        continue;
      }
      this.highestShare = Math.max(this.highestShare, total / limit);
      if (total > limit * (1 + TOLERANCE) + demand[resource]) {
        this.violations.push(
          `${key} brings ${account} to ${total} ${resource} of ${limit}`,
        );
      }
    }
  }

  end(key: string): void {
    this.#runs.delete(key);
  }

  #total(account: string, resource: keyof TaskDemand): number {
    return [...this.#runs.values()]
      .filter((run) => run.account === account)
      .reduce((sum, { demand }) => sum + demand[resource], 0);
  }

  /** The highest limit of the versions that may have been in force at a commit. */
  #highestLimit(
    account: string,
    resource: keyof TaskDemand,
    atMs: number,
  ): number {
    const last = this.versions.findLastIndex(({ acknowledgedAtMs }) =>
      (acknowledgedAtMs ?? Infinity) + this.#lateMs <= atMs
    );
    const limits = this.versions.slice(Math.max(0, last))
      .filter(({ sentAtMs }) => sentAtMs <= atMs)
      .map(({ limits }) => limits[account]?.[resource] || Infinity);
    return limits.length === 0 ? Infinity : Math.max(...limits);
  }
}
