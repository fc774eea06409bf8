/**
 * What the workers of a data centre have reported to one instance. It isn't
 * replicated, since workers' reports soon rebuild it.
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

/** How long an incarnation is silent before a lower one may replace it. */
const REPLACED_AFTER_MS = 30_000;

/** The latest known state of one worker. */
export interface WorkerEntry {
  readonly description: WorkerDescription;
  readonly address: string;
  readonly incarnation: number;
  readonly anchor: ClockAnchor;
  readonly isLeaving: boolean;
  readonly tasks: readonly HeldTask[];
  readonly usages: readonly HeldTaskUsage[];
}

/** An update of one worker's state. */
export interface WorkerUpdate {
  readonly entry: WorkerEntry;
  /** The incarnation before this update; undefined for a new worker. */
  readonly previousIncarnation: number | undefined;
  readonly hasUsages: boolean;
}

/** The workers that have reported to this instance. */
export class WorkerTable {
  readonly #entries = new Map<WorkerId, WorkerEntry>();
  readonly #updates = new Channel<WorkerUpdate>();

  /** Updates by reports and answers that were newer than the known state. */
  get updates(): Channel<WorkerUpdate>["stream"] {
    return this.#updates.stream;
  }

  get(workerId: WorkerId): WorkerEntry | undefined {
    return this.#entries.get(workerId);
  }

  entries(): IterableIterator<WorkerEntry> {
    return this.#entries.values();
  }

  /** Records a report; one that is older than the known state is dropped. */
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
      ...observedState(report, receivedAtMs),
    }, { previous, hasUsages: report.usages.length > 0 });
  }

  /** Records an answer's holdings, if newer and of the known incarnation. */
  acceptHoldings(holdings: WorkerHoldings, receivedAtMs: number): void {
    const previous = this.#entries.get(holdings.workerId);
    if (
      previous?.incarnation !== holdings.incarnation ||
      !isNewer(holdings, previous)
    ) {
      return;
    }
    this.#put({ ...previous, ...observedState(holdings, receivedAtMs) }, {
      previous,
      hasUsages: false,
    });
  }

  /** Removes the workers whose last message came before `beforeMs`. */
  removeSilent(beforeMs: number): void {
    for (const [workerId, entry] of this.#entries) {
      if (entry.anchor.receivedAtMs < beforeMs) {
        this.#entries.delete(workerId);
      }
    }
  }

  close(): void {
    this.#updates.close();
  }

  #put(
    entry: WorkerEntry,
    options: { previous: WorkerEntry | undefined; hasUsages: boolean },
  ): void {
    this.#entries.set(entry.description.workerId, entry);
    const { previous, hasUsages } = options;
    const isSame = previous?.incarnation === entry.incarnation;
    this.#updates.push({
      entry,
      previousIncarnation: isSame ? entry.incarnation : previous?.incarnation,
      hasUsages,
    });
  }
}

function observedState(holdings: WorkerHoldings, receivedAtMs: number) {
  return {
    incarnation: holdings.incarnation,
    isLeaving: holdings.isLeaving,
    tasks: holdings.tasks,
    anchor: { workerClockMs: holdings.workerClockMs, receivedAtMs },
  };
}

/**
 * Whether a lower incarnation replaces a higher one, as after a restart on a
 * machine whose clock went back: the higher one must have been silent for
 * longer than any lease.
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
