/**
 * Verifies presented keys against a team's key hashes at a bounded cost. Keys
 * that were verified before are recognized without a slow hash; the slow
 * hashes of all others share a small budget. So wrong keys can neither use up
 * the processor nor lock out a team whose key was verified here.
 *
 * @module
 */

import { createHmac, randomBytes } from "node:crypto";
import { Right } from "purify-ts/Either";
import type { Clock } from "../../base/clock.ts";
import type { TeamId } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { Team } from "../../version/document/document.ts";
import {
  KEY_LENGTH_MAX,
  matchesTeamKey,
} from "../../version/document/team_key.ts";

/** The team and key that a caller presents. */
export interface PresentedKey {
  readonly team: TeamId;
  readonly key: string;
}

/** A team and which of its key hashes the presented key matched. */
export interface VerifiedKey {
  readonly team: TeamId;
  readonly keyHash: string;
}

/** How to build a {@link KeyVerifier}. */
export interface KeyVerifierOptions {
  readonly clock: Clock;
  /** Slow hashes per second, over all teams. */
  readonly hashesPerSecond?: number;
  /** Maximum slow hashes in a burst, which are saved up while idle. */
  readonly hashesBurst?: number;
  /** Maximum callers queued for slow hashes, including the one served. */
  readonly waitingLimit?: number;
  /** Maximum verified keys that are recognized without a slow hash. */
  readonly verifiedLimit?: number;
  /** Whether a key matches a key hash. */
  readonly matches?: (key: string, keyHash: string) => Promise<boolean>;
}

/** Default limits. */
export const KEY_VERIFIER_DEFAULTS = {
  hashesPerSecond: 5,
  hashesBurst: 40,
  waitingLimit: 16,
  verifiedLimit: 512,
} as const;

/** Verifies teams' keys. */
export class KeyVerifier {
  readonly #options: Required<KeyVerifierOptions>;
  /** Matched key hashes, by an HMAC of team and key with `#secret`. */
  readonly #verified = new Map<string, string>();
  readonly #secret = randomBytes(32);
  #tokens: number;
  #refilledAtMs: number;
  #waiting = 0;
  #lastTurn: Promise<unknown> = Promise.resolve();

  constructor(options: KeyVerifierOptions) {
    this.#options = {
      ...KEY_VERIFIER_DEFAULTS,
      matches: matchesTeamKey,
      ...options,
    };
    this.#tokens = this.#options.hashesBurst;
    this.#refilledAtMs = this.#options.clock.nowMs();
  }

  /**
   * Verifies a key against the team's section. `unauthenticated` for a wrong
   * key, `overloaded` when the budget for slow hashes is used up.
   */
  async verify(
    presented: PresentedKey,
    team: Team | undefined,
  ): Promise<Result<VerifiedKey>> {
    if (team === undefined || presented.key.length > KEY_LENGTH_MAX) {
      return failure("unauthenticated");
    }
    const digest = this.#digestOf(presented);
    const verifiedHash = this.#verified.get(digest);
    if (verifiedHash !== undefined && team.keyHashes.includes(verifiedHash)) {
      return Right({ team: presented.team, keyHash: verifiedHash });
    }
    if (this.#waiting >= this.#options.waitingLimit) {
      return this.#refuse();
    }
    return await this.#runInTurn(() => this.#search(presented, team));
  }

  async #search(
    presented: PresentedKey,
    team: Team,
  ): Promise<Result<VerifiedKey>> {
    for (const keyHash of team.keyHashes) {
      if (!this.#takeToken()) {
        return this.#refuse();
      }
      if (await this.#options.matches(presented.key, keyHash)) {
        this.#recordVerified(this.#digestOf(presented), keyHash);
        return Right({ team: presented.team, keyHash });
      }
    }
    return failure("unauthenticated");
  }

  async #runInTurn<T>(work: () => Promise<T>): Promise<T> {
    this.#waiting++;
    const turn = this.#lastTurn.then(work);
    this.#lastTurn = turn.catch(() => undefined);
    try {
      return await turn;
    } finally {
      this.#waiting--;
    }
  }

  #refuse(): Result<VerifiedKey> {
    return failure("overloaded", {
      detail: "too many key verifications at the moment",
    });
  }

  #takeToken(): boolean {
    const { clock, hashesPerSecond, hashesBurst } = this.#options;
    const nowMs = clock.nowMs();
    const refill = (nowMs - this.#refilledAtMs) / 1_000 * hashesPerSecond;
    this.#tokens = Math.min(hashesBurst, this.#tokens + refill);
    this.#refilledAtMs = nowMs;
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens--;
    return true;
  }

  #recordVerified(digest: string, keyHash: string): void {
    this.#verified.delete(digest);
    this.#verified.set(digest, keyHash);
    if (this.#verified.size > this.#options.verifiedLimit) {
      const oldest = this.#verified.keys().next().value;
      this.#verified.delete(oldest ?? "");
    }
  }

  #digestOf(presented: PresentedKey): string {
    return createHmac("sha256", this.#secret)
      .update(JSON.stringify([presented.team, presented.key]))
      .digest("base64");
  }
}
