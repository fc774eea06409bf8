/**
 * Collects a leader's changes and commits them in batches, one at a time.
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

/** Options of {@link BatchWriter}. */
export interface BatchWriterOptions {
  readonly log: ReplicatedLog<BatchCommand, BatchOutcome>;
  readonly clock: Clock;
  readonly epoch: number;
  readonly commitTimeoutMs: number;
  /** Called before each batch for further items to commit with it. */
  readonly plan: () => BatchItem[];
  /** Called with each item that took effect, in order. */
  readonly onApplied: (item: BatchItem) => void;
  /** Called after each committed batch. */
  readonly onBatch: (durationMs: number, items: number) => void;
  /**
   * Called once if a batch failed, or another leader has taken over.
   */
  readonly onDeposed: (detail: string) => void;
}

interface PendingItem {
  readonly item: BatchItem;
  readonly resolve: (applied: boolean | undefined) => void;
}

/** Maximum number of written items in a batch; planned items are extra. */
const ITEMS_LIMIT = 512;

/**
 * Commits items in order; after the first failure, an error thrown while it
 * plans included, it commits nothing more.
 */
export class BatchWriter {
  readonly #options: BatchWriterOptions;
  #pending: PendingItem[] = [];
  #isWriting = false;
  #isClosed = false;
  #needsPlan = false;

  constructor(options: BatchWriterOptions) {
    this.#options = options;
  }

  get queueLength(): number {
    return this.#pending.length;
  }

  /**
   * Commits an item; returns whether it took effect. Undefined if that isn't
   * known: the commit failed, or the writer was closed.
   */
  write(item: BatchItem): Promise<boolean | undefined> {
    if (this.#isClosed) {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve) => {
      this.#pending.push({ item, resolve });
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
    while (!this.#isClosed && (this.#needsPlan || this.#pending.length > 0)) {
      this.#needsPlan = false;
      const planned = this.#options.plan();
      const pending = this.#pending.splice(0, ITEMS_LIMIT);
      const items = [...pending.map(({ item }) => item), ...planned];
      if (items.length > 0) {
        let applied: readonly boolean[] | undefined;
        try {
          applied = await this.#commit(items);
        } finally {
          pending.forEach(({ resolve }, index) => resolve(applied?.[index]));
        }
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
      Right: (outcome) => outcome,
    });
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

  #depose(detail: string): void {
    if (!this.#isClosed) {
      this.close();
      this.#options.onDeposed(detail);
    }
  }
}
