/**
 * What workers started and ended, by whose orders, and what breaks the rules.
 *
 * @module
 */

/** Milliseconds since 1970 on a clock that is never stepped. */
export function nowMs(): number {
  return performance.timeOrigin + performance.now();
}

/** The start of a run; `epoch` is the one of the leader that ordered it. */
export interface RunStart {
  readonly kind: "start";
  readonly worker: string;
  readonly bornMs: number;
  readonly task: string;
  readonly run: number;
  readonly atMs: number;
  readonly epoch: number;
}

/** The end of a run, and who took note of it. */
export interface RunEnd {
  readonly kind: "end";
  readonly worker: string;
  readonly bornMs: number;
  readonly task: string;
  readonly run: number;
  readonly atMs: number;
  readonly how: string;
  readonly number: number;
  notedAtMs?: number;
  notedByEpoch?: number;
  /** Whether the worker's lease lapsed before the end was noted. */
  hasLapsed?: boolean;
}

/** Two runs of one task at work at once. */
export interface Overlap {
  readonly task: string;
  readonly first: RunStart;
  readonly second: RunStart;
}

/** A start of a task after a run had ended `done`, and that was noted. */
export interface Repeat {
  readonly task: string;
  readonly done: RunEnd;
  readonly start: RunStart;
}

const EPOCH_FENCES = 1_000;

/** The epoch of the leader that gave an order with this fence. */
export function epochOf(fence: number): number {
  return Math.floor(fence / EPOCH_FENCES);
}

/** The starts and ends on all workers, in order. */
export class RunHistory {
  readonly events: (RunStart | RunEnd)[] = [];
  readonly overlaps: Overlap[] = [];
  readonly #active = new Map<string, RunStart[]>();

  start(start: RunStart): void {
    this.events.push(start);
    const active = this.#active.get(start.task) ?? [];
    for (const first of active) {
      this.overlaps.push({ task: start.task, first, second: start });
    }
    this.#active.set(start.task, [...active, start]);
  }

  end(end: RunEnd): void {
    this.events.push(end);
    const active = this.#active.get(end.task) ?? [];
    this.#active.set(
      end.task,
      active.filter(({ run, worker }) =>
        run !== end.run || worker !== end.worker
      ),
    );
  }

  starts(): RunStart[] {
    return this.events.filter((event) => event.kind === "start");
  }

  ends(): RunEnd[] {
    return this.events.filter((event) => event.kind === "end");
  }

  /**
   * Starts after an end `done` of the same task that was noted at any time.
   * `unitOf` names what ends as a whole: a task, or a gang.
   */
  repeats(unitOf = (task: string) => task): Repeat[] {
    const doneOf = new Map<string, RunEnd>();
    const repeats: Repeat[] = [];
    for (const event of this.events) {
      if (event.kind === "start") {
        const done = doneOf.get(unitOf(event.task));
        if (done !== undefined) {
          repeats.push({ task: event.task, done, start: event });
        }
      } else if (
        event.how === "done" && event.notedAtMs !== undefined &&
        event.hasLapsed !== true
      ) {
        doneOf.set(unitOf(event.task), event);
      }
    }
    return repeats;
  }
}
