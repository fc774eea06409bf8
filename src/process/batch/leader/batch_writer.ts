/**
 * Gathers a leader's changes and commits them together, one batch at a time.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type {
  BatchCommand,
  BatchItem,
  BatchOutcome,
} from "../batch_command.ts";
import type { ReplicatedLog } from "../../replication/mod.ts";

/** What a writer is made from. */
export interface BatchWriterOptions {
  readonly log: ReplicatedLog<BatchCommand, BatchOutcome>;
  readonly clock: Clock;
  readonly epoch: number;
  readonly commitTimeoutMs: number;
  /** More items to commit with those that wait; asked before each batch. */
  readonly plan: () => BatchItem[];
  /** Called with each item that took effect, in order. */
  readonly onApplied: (item: BatchItem) => void;
  /** Called after each batch. */
  readonly onBatch: (durationMs: number, items: number) => void;
  /** Another leader came, or nobody can tell what was committed. */
  readonly onDeposed: (detail: string) => void;
}

interface Waiting {
  readonly item: BatchItem;
  readonly resolve: (applied: boolean | undefined) => void;
}

/** The most items of one batch. */
const ITEMS_LIMIT = 512;

/** Commits items in order; after the first failure it commits nothing more. */
export class BatchWriter {
  readonly #options: BatchWriterOptions;
  #waiting: Waiting[] = [];
  #isWriting = false;
  #isClosed = false;
  #isDirty = false;

  constructor(options: BatchWriterOptions) {
    this.#options = options;
  }

  get queueLength(): number {
    return this.#waiting.length;
  }

  /**
   * Whether the item took effect once it is committed; undefined when nobody
   * can tell whether it ever will.
   */
  write(item: BatchItem): Promise<boolean | undefined> {
    if (this.#isClosed) {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve) => {
      this.#waiting.push({ item, resolve });
      this.#schedule();
    });
  }

  /** Something changed that the plan depends on. */
  touch(): void {
    this.#isDirty = true;
    this.#schedule();
  }

  close(): void {
    this.#isClosed = true;
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach(({ resolve }) => resolve(undefined));
  }

  /** Begins in a turn of its own, so that what comes together goes together. */
  #schedule(): void {
    if (!this.#isWriting && !this.#isClosed) {
      this.#isWriting = true;
      setImmediate(() => void this.#run());
    }
  }

  async #run(): Promise<void> {
    while (!this.#isClosed && (this.#isDirty || this.#waiting.length > 0)) {
      this.#isDirty = false;
      const waiting = this.#waiting.splice(0, ITEMS_LIMIT);
      const planned = this.#options.plan();
      const items = [...waiting.map(({ item }) => item), ...planned];
      if (items.length > 0) {
        const applied = await this.#commit(items);
        waiting.forEach(({ resolve }, at) => resolve(applied?.[at]));
      }
    }
    this.#isWriting = false;
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
      Right: (found) => found,
    });
    if (typeof outcome === "string" || outcome.kind !== "batch") {
      this.#depose(typeof outcome === "string" ? outcome : outcome.kind);
      return undefined;
    }
    this.#options.onBatch(clock.nowMs() - beganAtMs, items.length);
    items.forEach((item, at) => {
      if (outcome.applied[at]) {
        this.#options.onApplied(item);
      }
    });
    this.#isDirty = true;
    return outcome.applied;
  }

  #depose(detail: string): void {
    if (!this.#isClosed) {
      this.close();
      this.#options.onDeposed(detail);
    }
  }
}
