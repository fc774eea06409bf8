/**
 * Finds which of a team's key hashes a presented key matches, at a bounded
 * cost: a key that was verified is known again at once, and the slow hashes
 * of all others share a small budget, so that wrong keys can't take up the
 * processor or lock out a team whose key is known here.
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

/** What a caller presents. */
export interface PresentedKey {
  readonly team: TeamId;
  readonly key: string;
}

/** A key that is one of the team's. */
export interface VerifiedKey {
  readonly team: TeamId;
  /** The hash in the document that the key matched. */
  readonly keyHash: string;
}

/** How to build a {@link KeyVerifier}. */
export interface KeyVerifierOptions {
  readonly clock: Clock;
  /** Slow hashes that may be worked out per second, over all teams. */
  readonly hashesPerSecond?: number;
  /** Slow hashes that may be worked out at once after a quiet while. */
  readonly hashesBurst?: number;
  /** Callers that may wait for the one hash that is worked out at a time. */
  readonly waitingLimit?: number;
  /** Verified keys that are known again. */
  readonly knownLimit?: number;
  /** Compares a key with a hash. */
  readonly matches?: (key: string, keyHash: string) => Promise<boolean>;
}

/** The limits of the product. */
export const KEY_VERIFIER_DEFAULTS = {
  hashesPerSecond: 5,
  hashesBurst: 40,
  waitingLimit: 16,
  knownLimit: 512,
} as const;

/** Verifies teams' keys. */
export class KeyVerifier {
  readonly #options: Required<KeyVerifierOptions>;
  /** Digests of verified keys under a secret of this process. */
  readonly #known = new Map<string, string>();
  readonly #secret = randomBytes(32);
  #tokens: number;
  #refilledAtMs: number;
  #waiting = 0;
  #turn: Promise<unknown> = Promise.resolve();

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
    const knownHash = this.#known.get(digest);
    if (knownHash !== undefined && team.keyHashes.includes(knownHash)) {
      return Right({ team: presented.team, keyHash: knownHash });
    }
    if (this.#waiting >= this.#options.waitingLimit) {
      return this.#refuse();
    }
    return await this.#inTurn(() => this.#search(presented, team));
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
        this.#remember(this.#digestOf(presented), keyHash);
        return Right({ team: presented.team, keyHash });
      }
    }
    return failure("unauthenticated");
  }

  async #inTurn<T>(work: () => Promise<T>): Promise<T> {
    this.#waiting++;
    const turn = this.#turn.then(work);
    this.#turn = turn.catch(() => undefined);
    try {
      return await turn;
    } finally {
      this.#waiting--;
    }
  }

  #refuse(): Result<VerifiedKey> {
    return failure("overloaded", { detail: "too many keys to be verified" });
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

  #remember(digest: string, keyHash: string): void {
    this.#known.delete(digest);
    this.#known.set(digest, keyHash);
    if (this.#known.size > this.#options.knownLimit) {
      const oldest = this.#known.keys().next().value;
      this.#known.delete(oldest ?? "");
    }
  }

  #digestOf(presented: PresentedKey): string {
    return createHmac("sha256", this.#secret)
      .update(JSON.stringify([presented.team, presented.key]))
      .digest("base64");
  }
}
