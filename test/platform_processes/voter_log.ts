/**
 * What the cores' own logs say about leaders and voters.
 *
 * @module
 */

import type { LogLine, Programs } from "./programs.ts";

/** The group's voters from a time on, by a leader's log. */
export interface VoterList {
  readonly atMs: number;
  readonly voterHosts: readonly string[];
}

/** A core that became the leader. */
export interface LeadershipGain {
  readonly atMs: number;
  readonly core: string;
}

/** Reads the cores' logs. */
export class VoterLog {
  readonly #programs: Pick<Programs, "lines">;
  /** The voters of a group that has just been formed. */
  readonly #founderHosts: readonly string[];

  constructor(
    programs: Pick<Programs, "lines">,
    founderHosts: readonly string[],
  ) {
    this.#programs = programs;
    this.#founderHosts = founderHosts;
  }

  /** The voters in force at a time, by the latest change until then. */
  votersAt(atMs: number): readonly string[] {
    return this.#lists().filter((list) => list.atMs <= atMs).at(-1)
      ?.voterHosts ?? this.#founderHosts;
  }

  /**
   * When the core at this address became a voter after its start. One that lost
   * its disk is removed first.
   */
  voteAtMs(host: string, startedAtMs: number): number | undefined {
    let isVoter = this.votersAt(startedAtMs).includes(host);
    for (const { atMs, voterHosts } of this.#lists()) {
      if (atMs > startedAtMs) {
        const wasVoter = isVoter;
        isVoter = voterHosts.includes(host);
        if (isVoter && !wasVoter) {
          return atMs;
        }
      }
    }
    return undefined;
  }

  /** The first core that becomes the leader after a time. */
  nextLeader(afterMs: number): LeadershipGain | undefined {
    return this.#sorted("leadershipGained")
      .filter(({ atMs }) => atMs > afterMs)
      .map(({ atMs, program }) => ({ atMs, core: program }))[0];
  }

  /** Whether the core's log has such an event after a time. */
  has(core: string, event: string, afterMs: number): boolean {
    return this.#programs.lines(core).some((line) =>
      line.event === event && line.atMs >= afterMs
    );
  }

  /** To how many peers the core opened links in a span. */
  linkCount(core: string, span: { fromMs: number; untilMs: number }): number {
    const peers = this.#programs.lines(core)
      .filter(({ event, atMs }) =>
        event === "linkOpened" && atMs >= span.fromMs && atMs <= span.untilMs
      )
      .map(({ fields }) => fields.peer);
    return new Set(peers).size;
  }

  #lists(): VoterList[] {
    return this.#sorted("membersChanged").map(({ atMs, fields }) => ({
      atMs,
      voterHosts: String(fields.voters).split(","),
    }));
  }

  #sorted(event: string): LogLine[] {
    return this.#programs.lines().filter((line) => line.event === event)
      .sort((a, b) => a.atMs - b.atMs);
  }
}
