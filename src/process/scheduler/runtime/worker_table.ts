/**
 * What one instance has heard of the workers of its data centre. Nothing of
 * it is replicated: workers' reports build it anew.
 *
 * @module
 */

import { Channel } from "../../../base/channel.ts";
import type { WorkerId } from "../../../base/identity.ts";
import type { WorkerDescription } from "../core/scheduler_event.ts";
import type { ClockAnchor } from "./lease_rule.ts";
import type {
  HeldTask,
  HeldTaskUsage,
  WorkerHoldings,
  WorkerReport,
} from "./worker_report.ts";

/** How long an incarnation is silent before a lower one may follow it. */
const REPLACED_AFTER_MS = 30_000;

/** One worker as last heard of. */
export interface WorkerEntry {
  readonly description: WorkerDescription;
  readonly address: string;
  readonly incarnation: number;
  readonly anchor: ClockAnchor;
  readonly isLeaving: boolean;
  readonly tasks: readonly HeldTask[];
  readonly usages: readonly HeldTaskUsage[];
}

/** News of one worker. */
export interface WorkerNews {
  readonly entry: WorkerEntry;
  /** The incarnation before, when this is another one or the first. */
  readonly previousIncarnation: number | undefined;
  readonly hasUsages: boolean;
}

/** The workers that this instance has heard of. */
export class WorkerTable {
  readonly #entries = new Map<WorkerId, WorkerEntry>();
  readonly #news = new Channel<WorkerNews>();

  /** Each report or answer that was newer than what was known. */
  get news(): Channel<WorkerNews>["stream"] {
    return this.#news.stream;
  }

  get(workerId: WorkerId): WorkerEntry | undefined {
    return this.#entries.get(workerId);
  }

  entries(): IterableIterator<WorkerEntry> {
    return this.#entries.values();
  }

  /** Takes a report in; one that is older than what is known is dropped. */
  acceptReport(report: WorkerReport, receivedAtMs: number): void {
    const previous = this.#entries.get(report.workerId);
    if (
      !isNewer(report, previous) &&
      !isReplaced(report, { previous, receivedAtMs })
    ) {
      return;
    }
    this.#put({
      description: {
        workerId: report.workerId,
        rack: report.rack,
        cores: report.cores,
        memoryBytes: report.memoryBytes,
        accelerators: report.accelerators,
      },
      address: report.address,
      usages: report.usages,
      ...heard(report, receivedAtMs),
    }, { previous, hasUsages: report.usages.length > 0 });
  }

  /** Takes in what a worker said in an answer. */
  acceptHoldings(holdings: WorkerHoldings, receivedAtMs: number): void {
    const previous = this.#entries.get(holdings.workerId);
    if (
      previous?.incarnation !== holdings.incarnation ||
      !isNewer(holdings, previous)
    ) {
      return;
    }
    this.#put({ ...previous, ...heard(holdings, receivedAtMs) }, {
      previous,
      hasUsages: false,
    });
  }

  /** Forgets the workers that were last heard of before `beforeMs`. */
  forgetSilent(beforeMs: number): void {
    for (const [workerId, entry] of this.#entries) {
      if (entry.anchor.receivedAtMs < beforeMs) {
        this.#entries.delete(workerId);
      }
    }
  }

  close(): void {
    this.#news.close();
  }

  #put(
    entry: WorkerEntry,
    options: { previous: WorkerEntry | undefined; hasUsages: boolean },
  ): void {
    this.#entries.set(entry.description.workerId, entry);
    const { previous, hasUsages } = options;
    const isSame = previous?.incarnation === entry.incarnation;
    this.#news.push({
      entry,
      previousIncarnation: isSame ? entry.incarnation : previous?.incarnation,
      hasUsages,
    });
  }
}

function heard(holdings: WorkerHoldings, receivedAtMs: number) {
  return {
    incarnation: holdings.incarnation,
    isLeaving: holdings.isLeaving,
    tasks: holdings.tasks,
    anchor: { workerClockMs: holdings.workerClockMs, receivedAtMs },
  };
}

/**
 * Whether a lower incarnation is a new start all the same, on a machine whose
 * clock went back: the higher one has been silent for longer than any lease.
 */
function isReplaced(
  report: WorkerReport,
  options: { previous: WorkerEntry | undefined; receivedAtMs: number },
): boolean {
  const { previous, receivedAtMs } = options;
  return previous !== undefined &&
    report.incarnation < previous.incarnation &&
    previous.anchor.receivedAtMs + REPLACED_AFTER_MS < receivedAtMs;
}

function isNewer(
  holdings: WorkerHoldings,
  previous: WorkerEntry | undefined,
): boolean {
  if (previous === undefined || holdings.incarnation > previous.incarnation) {
    return true;
  }
  return holdings.incarnation === previous.incarnation &&
    holdings.workerClockMs > previous.anchor.workerClockMs;
}
