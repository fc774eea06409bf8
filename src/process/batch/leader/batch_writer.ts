/**
 * Collects a leader's changes and commits them in batches, one at a time.
 *
 * @module
 */

import type { Clock, Timer } from "../../../base/clock.ts";
import type {
  BatchCommand,
  BatchItem,
  BatchOutcome,
} from "../batch_command.ts";
import type { ReplicatedLog } from "../../replication/mod.ts";

/** Options of {@link BatchWriter}. */
export interface BatchWriterOptions {
  readonly log: ReplicatedLog<BatchCommand, BatchOutcome>;
  readonly clock: Clock;
  readonly epoch: number;
  readonly commitTimeoutMs: number;
  /**
   * Called before a batch for further items to commit with it, if a plan was
   * requested or the state changed.
   */
  readonly plan: () => BatchItem[];
  /** Called for further items of a batch that has some. */
  readonly accompany?: () => BatchItem[];
  /** Called with each item that took effect, in order. */
  readonly onApplied: (item: BatchItem) => void;
  /** Called after each committed batch. */
  readonly onBatch: (durationMs: number, items: number) => void;
  /** Called with an item that doesn't fit into the log by itself. */
  readonly onTooLarge: (item: BatchItem) => void;
  /** Called with the items of a batch that may still take effect. */
  readonly onUnknown: (items: readonly BatchItem[]) => void;
  /**
   * Called once if planning threw, a batch's commit failed, or another leader
   * has taken over.
   */
  readonly onDeposed: (detail: string) => void;
}

interface PendingItem {
  readonly item: BatchItem;
  /** Aborted if the item isn't wanted any more. */
  readonly caller: AbortSignal | undefined;
  readonly resolve: (applied: boolean | undefined) => void;
}

/**
 * After a planning pass the next one waits for this many times as long as it
 * took, up to the limit. With a hundred waiting jobs, just after a start of the
 * process, a pass takes up to 100 ms: most of the time is left for calls and
 * ends, which are committed without a plan meanwhile.
 */
const PLAN_PAUSE_FACTOR = 3;
const PLAN_PAUSE_LIMIT_MS = 250;

/** Maximum number of written items in a batch; planned items are extra. */
const ITEMS_LIMIT = 512;

/**
 * Commits items in order; after the first failure, of a commit or of a planning
 * pass, it commits nothing more.
 */
export class BatchWriter {
  readonly #options: BatchWriterOptions;
  #pending: PendingItem[] = [];
  #isWriting = false;
  #isClosed = false;
  #needsPlan = false;
  /** The earliest time of the next planning pass. */
  #nextPlanAtMs = 0;
  #planTimer: Timer | undefined;

  constructor(options: BatchWriterOptions) {
    this.#options = options;
  }

  get queueLength(): number {
    return this.#pending.length;
  }

  /**
   * Commits an item, unless its caller gives up before the batch begins; returns
   * whether it took effect. Undefined if that isn't known: the commit failed, or
   * the writer was closed.
   */
  write(
    item: BatchItem,
    caller?: AbortSignal,
  ): Promise<boolean | undefined> {
    if (this.#isClosed) {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve) => {
      this.#pending.push({ item, caller, resolve });
      this.#schedule();
    });
  }

  /** Plans again, after a change that the plan depends on. */
  requestPlan(): void {
    this.#needsPlan = true;
    this.#schedule();
  }

  close(): void {
    this.#isClosed = true;
    this.#planTimer?.close();
    const pending = this.#pending;
    this.#pending = [];
    pending.forEach(({ resolve }) => resolve(undefined));
  }

  /** Defers the batch, so that it holds all items of this event loop turn. */
  #schedule(): void {
    if (!this.#isWriting && !this.#isClosed) {
      this.#isWriting = true;
      setImmediate(() =>
        void this.#run().catch((error: unknown) => this.#depose(String(error)))
      );
    }
  }

  async #run(): Promise<void> {
    while (
      !this.#isClosed && (this.#isPlanDue() || this.#pending.length > 0)
    ) {
      const planned = this.#isPlanDue() ? this.#plan() : [];
      const pending = this.#takePending();
      const items = [...pending.map(({ item }) => item), ...planned];
      if (items.length > 0) {
        items.push(...this.#options.accompany?.() ?? []);
        let applied: readonly boolean[] | undefined;
        try {
          applied = await this.#commit(items);
        } finally {
          pending.forEach(({ resolve }, index) => resolve(applied?.[index]));
        }
      }
    }
    this.#isWriting = false;
    this.#planLater();
  }

  /** The next items that are still wanted. */
  #takePending(): PendingItem[] {
    const taken = this.#pending.splice(0, ITEMS_LIMIT);
    const isWanted = ({ caller }: PendingItem) => caller?.aborted !== true;
    taken.filter((each) => !isWanted(each)).forEach(({ resolve }) =>
      resolve(false)
    );
    return taken.filter(isWanted);
  }

  #isPlanDue(): boolean {
    return this.#needsPlan &&
      this.#options.clock.nowMs() >= this.#nextPlanAtMs;
  }

  #plan(): BatchItem[] {
    const { clock, plan } = this.#options;
    this.#needsPlan = false;
    const beganAtMs = clock.nowMs();
    const items = plan();
    const endedAtMs = clock.nowMs();
    const pauseMs = PLAN_PAUSE_FACTOR * (endedAtMs - beganAtMs);
    this.#nextPlanAtMs = endedAtMs + Math.min(pauseMs, PLAN_PAUSE_LIMIT_MS);
    return items;
  }

  /** Plans at the end of the pause, if a plan waits for that. */
  #planLater(): void {
    if (this.#needsPlan && !this.#isClosed) {
      const { clock } = this.#options;
      const delayMs = Math.max(0, this.#nextPlanAtMs - clock.nowMs());
      this.#planTimer?.close();
      this.#planTimer = clock.after(delayMs, () => this.#schedule());
    }
  }

  async #commit(
    items: BatchItem[],
  ): Promise<readonly boolean[] | undefined> {
    const { log, clock, epoch, commitTimeoutMs } = this.#options;
    const beganAtMs = clock.nowMs();
    const command: BatchCommand = {
      kind: "batch",
      epoch,
      atMs: Math.floor(beganAtMs),
      items,
    };
    const deadlineMs = beganAtMs + commitTimeoutMs;
    const result = await log.propose(command, { deadlineMs });
    const outcome = result.caseOf<BatchOutcome | string>({
      Left: (error) => error.kind,
      Right: (outcome) => outcome,
    });
    if (outcome === "tooLarge") {
      return await this.#commitInParts(items);
    }
    if (outcome === "outcomeUnknown") {
      this.#options.onUnknown(items);
    }
    if (typeof outcome === "string" || outcome.kind !== "batch") {
      this.#depose(typeof outcome === "string" ? outcome : outcome.kind);
      return undefined;
    }
    this.#options.onBatch(clock.nowMs() - beganAtMs, items.length);
    items.forEach((item, index) => {
      if (outcome.applied[index]) {
        this.#options.onApplied(item);
      }
    });
    this.#needsPlan = true;
    return outcome.applied;
  }

  /**
   * Commits items that don't fit into one entry of the log, nothing of which was
   * appended. An item that doesn't fit by itself takes no effect.
   */
  async #commitInParts(
    items: BatchItem[],
  ): Promise<readonly boolean[] | undefined> {
    if (items.length === 1) {
      this.#options.onTooLarge(items[0]!);
      return [false];
    }
    const middle = Math.ceil(items.length / 2);
    const first = await this.#commit(items.slice(0, middle));
    if (first === undefined || this.#isClosed) {
      return first;
    }
    const second = await this.#commit(items.slice(middle));
    return [...first, ...second ?? []];
  }

  #depose(detail: string): void {
    if (!this.#isClosed) {
      this.close();
      this.#options.onDeposed(detail);
    }
  }
}
