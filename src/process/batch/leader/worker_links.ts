/**
 * The leader's ties to all workers, by the lives that it knows of.
 *
 * @module
 */

import {
  idOfLife,
  type WorkerKey,
  type WorkerRecord,
} from "../batch_command.ts";
import type { LeaderContext } from "./leader_context.ts";
import { WorkerLink, type WorkerLinkOptions } from "./worker_link.ts";

/** What the ties are made from. */
export interface WorkerLinksOptions extends LeaderContext {
  readonly mayLead: () => boolean;
  readonly onReport: WorkerLinkOptions["onReport"];
  /** A worker can be given work again. */
  readonly onReached: () => void;
}

/** All ties of one leader. */
export class WorkerLinks {
  readonly #options: WorkerLinksOptions;
  readonly #links = new Map<WorkerKey, WorkerLink>();

  constructor(options: WorkerLinksOptions) {
    this.#options = options;
  }

  get(key: WorkerKey): WorkerLink | undefined {
    return this.#links.get(key);
  }

  /** Ties to the workers that earlier leaders knew. */
  openKnown(): void {
    this.#options.state.workers.forEach((worker) =>
      this.#open(worker, this.#earlierLeaseMs(worker))
    );
  }

  /** Ties to a worker that announced itself or changed; true for a new life. */
  announce(worker: WorkerRecord): boolean {
    const known = this.#links.get(worker.key);
    if (known !== undefined) {
      known.worker = worker;
      return false;
    }
    // An order meant for an earlier life gives the longest lease.
    this.#open(worker, this.#options.timing.leaseLimitMs);
    return true;
  }

  /** Cuts the tie to a life that is over. */
  drop(key: WorkerKey): void {
    this.#links.get(key)?.close();
    this.#links.delete(key);
  }

  /** Lives whose process is gone. */
  goneKeys(): WorkerKey[] {
    return [...this.#links].filter(([, link]) => link.isGone)
      .map(([key]) => key);
  }

  /** The latest life of the same worker, other than the given one. */
  successorOf(key: WorkerKey): WorkerKey | undefined {
    const id = idOfLife(key);
    return [...this.#options.state.workers.values()]
      .filter((worker) => worker.id === id && worker.key !== key)
      .sort((a, b) => b.bornMs - a.bornMs)[0]?.key;
  }

  close(): void {
    this.#links.forEach((link) => link.close());
  }

  /**
   * The longest lease that an earlier leader may have given. An order meant
   * for the life before gives a young one the longest that there is.
   */
  #earlierLeaseMs({ bornMs }: WorkerRecord): number {
    const { clock, timing } = this.#options;
    const isYoung = clock.nowMs() - bornMs < 2 * timing.leaseLimitMs;
    return isYoung ? timing.leaseLimitMs : timing.leaseMs;
  }

  #open(worker: WorkerRecord, earlierLeaseMs: number): void {
    const { calls, clock, timing, epoch, events, mayLead, onReport } =
      this.#options;
    const link = new WorkerLink({
      worker,
      calls,
      clock,
      timing,
      epoch,
      earlierLeaseMs,
      mayLead,
      onReport,
      onReach: ({ worker: { key } }, detail) => this.#noteReach(key, detail),
    });
    this.#links.set(worker.key, link);
    events.emit("batchWorkerJoined", {
      worker: worker.key,
      dataCentre: worker.dataCentre,
      isDraining: worker.isDraining,
    });
  }

  #noteReach(key: WorkerKey, detail: string | undefined): void {
    const { events, onReached } = this.#options;
    if (detail === undefined) {
      events.emit("batchWorkerReached", { worker: key });
      onReached();
    } else {
      events.emit("batchWorkerSilent", { worker: key, detail });
    }
  }
}
