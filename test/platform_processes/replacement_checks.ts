/**
 * What must hold after each wave of losses, by the cores' logs and answers.
 *
 * @module
 */

import type { ReadMonitor } from "./read_monitor.ts";
import type {
  CoreReturn,
  PlayedWave,
  ReplacementBounds,
} from "./replacement_play.ts";
import type { VoterLog } from "./voter_log.ts";

/** One line of the result. */
export interface Check {
  readonly what: string;
  readonly isMet: boolean;
}

/** When a core first answered a read after a loss or its start. */
interface FirstAnswer {
  readonly core: string;
  readonly tookMs: number;
  readonly isInTime: boolean;
}

/** Options of {@link checkWaves}. */
export interface WaveCheckOptions {
  readonly waves: readonly PlayedWave[];
  readonly monitor: Pick<ReadMonitor, "firstAnswer">;
  readonly voterLog: VoterLog;
  readonly bounds: ReplacementBounds;
}

/** Judges all waves. */
export function checkWaves(options: WaveCheckOptions): Check[] {
  return options.waves.flatMap((wave, at) => {
    const waveCheck = new WaveChecks(options, wave);
    return [
      waveCheck.reads(),
      waveCheck.returnedReads(),
      waveCheck.seats(),
    ].map(({ what, isMet }) => ({ what: `wave ${at + 1}: ${what}`, isMet }));
  });
}

/** One line for each loss: the next leader, and when who returned votes. */
export function describeLosses(options: WaveCheckOptions): string[] {
  return options.waves.flatMap((wave, at) =>
    wave.lost.map((core) => {
      const returned = wave.returns.find(({ lostName }) =>
        lostName === core.name
      );
      const leader = core.name === wave.leader
        ? `, it led, ${describeNextLeader(wave, options)}`
        : "";
      return `wave ${at + 1}: ${core.name} lost${leader}; ` +
        describeReturn(returned, options);
    })
  );
}

function describeNextLeader(
  { atMs }: PlayedWave,
  { voterLog }: WaveCheckOptions,
): string {
  const next = voterLog.nextLeader(atMs);
  return next === undefined
    ? "no leader came"
    : `next leader ${next.core} after ${since(atMs, next.atMs)}`;
}

function describeReturn(
  returned: CoreReturn | undefined,
  { voterLog, bounds }: WaveCheckOptions,
): string {
  if (returned === undefined) {
    return "nothing returned";
  }
  const { name, host, kind, atMs } = returned;
  const voteAtMs = voterLog.voteAtMs(host, atMs);
  const vote = voteAtMs !== undefined
    ? `vote after ${since(atMs, voteAtMs)}`
    : voterLog.votersAt(atMs).includes(host)
    ? "stayed a voter"
    : "no vote";
  const hasSnapshot = voterLog.has(name, "snapshotInstalled", atMs);
  const links = voterLog.linkCount(name, {
    fromMs: atMs,
    untilMs: atMs + bounds.catchUpMs,
  });
  return `${name} ${kind}: ${vote}, links opened in time ${links}, ` +
    (hasSnapshot ? "snapshot installed" : "no snapshot");
}

class WaveChecks {
  readonly #options: WaveCheckOptions;
  readonly #wave: PlayedWave;
  readonly #next: PlayedWave | undefined;

  constructor(options: WaveCheckOptions, wave: PlayedWave) {
    this.#options = options;
    this.#wave = wave;
    this.#next = options.waves[options.waves.indexOf(wave) + 1];
  }

  reads(): Check {
    const { bounds: { contactMs } } = this.#options;
    const { atMs, living } = this.#wave;
    const answers = living.map(({ name }) =>
      this.#firstAnswer(name, { fromMs: atMs, limitMs: contactMs })
    );
    return this.#readCheck("each living core answers reads", answers);
  }

  returnedReads(): Check {
    const { bounds: { contactMs, catchUpMs } } = this.#options;
    const limitMs = Math.max(contactMs, catchUpMs);
    const answers = this.#wave.returns.map(({ name, atMs }) =>
      this.#firstAnswer(name, { fromMs: atMs, limitMs })
    );
    return this.#readCheck("each core that returned answers reads", answers);
  }

  /**
   * Whether enough voters live once all count as caught up: a majority has to
   * be left after as many losses as are borne.
   */
  seats(): Check {
    const { voterLog, waves, bounds } = this.#options;
    const startedAtMs = this.#wave.returns.map((each) => each.atMs);
    const dueMs = Math.max(...startedAtMs) + bounds.catchUpMs;
    const laterLosses = waves
      .filter(({ atMs }) => atMs > this.#wave.atMs && atMs <= dueMs)
      .flatMap(({ lost }) => lost).length;
    const hosts = voterLog.votersAt(dueMs);
    const seated = hosts.filter((host) => this.#isSeated(host, dueMs));
    const borne = bounds.lossesBorne - laterLosses;
    const times = this.#wave.returns.map(({ host, atMs }) =>
      voterLog.voteAtMs(host, atMs)
    ).filter((each) => each !== undefined).filter((each) => each <= dueMs);
    const votes = times.length === 0
      ? ""
      : `, the last vote of a core that returned ${
        since(Math.max(...startedAtMs), Math.max(...times))
      } after its start`;
    return {
      what: `${seated.length} of ${hosts.length} voters live ` +
        `${bounds.catchUpMs} ms after the last start, enough to lose ` +
        `${borne}${votes}`,
      isMet: 2 * (seated.length - borne) > hosts.length,
    };
  }

  /** Whether the core at an address runs and has the group's state. */
  #isSeated(host: string, atMs: number): boolean {
    const { waves, voterLog } = this.#options;
    const losses = waves.filter((wave) =>
      wave.atMs <= atMs && wave.lost.some((core) => core.host === host)
    );
    const returned = waves.flatMap(({ returns }) => returns)
      .filter((each) => each.host === host && each.atMs <= atMs).at(-1);
    const lostAtMs = losses.at(-1)?.atMs;
    if (lostAtMs === undefined) {
      return true;
    }
    if (returned === undefined || returned.atMs < lostAtMs) {
      return false;
    }
    const voteAtMs = voterLog.voteAtMs(host, returned.atMs);
    return returned.kind !== "wiped" || (voteAtMs ?? Infinity) <= atMs ||
      voterLog.has(returned.name, "voteGained", returned.atMs);
  }

  /** The time until the first answer; undefined if it isn't in time. */
  #firstAnswer(
    core: string,
    { fromMs, limitMs }: { fromMs: number; limitMs: number },
  ): FirstAnswer | undefined {
    const { monitor, bounds } = this.#options;
    const isNextEarlier = this.#next !== undefined &&
      this.#next.atMs < fromMs + limitMs;
    if (isNextEarlier && this.#next!.lost.some(({ name }) => name === core)) {
      return undefined;
    }
    // After another loss there is as much time again.
    const endMs = isNextEarlier
      ? this.#next!.atMs + bounds.contactMs
      : fromMs + limitMs;
    const read = monitor.firstAnswer(core, fromMs);
    const tookMs = read === undefined ? Infinity : read.endedAtMs - fromMs;
    return { core, tookMs, isInTime: fromMs + tookMs <= endMs };
  }

  #readCheck(
    what: string,
    answers: readonly (FirstAnswer | undefined)[],
  ): Check {
    const judged = answers.filter((answer) => answer !== undefined)
      .sort((a, b) => b.tookMs - a.tookMs);
    const slowest = judged[0];
    const detail = slowest === undefined
      ? "none to judge"
      : slowest.tookMs === Infinity
      ? `${slowest.core} never did`
      : `${slowest.core} last, after ${Math.round(slowest.tookMs)} ms`;
    return {
      what: `${what} in time (${detail})`,
      isMet: judged.every(({ isInTime }) => isInTime),
    };
  }
}

function since(fromMs: number, toMs: number): string {
  return `${Math.round(toMs - fromMs)} ms`;
}
