/**
 * The leader's links to all known worker incarnations.
 *
 * @module
 */

import {
  workerIdOf,
  type WorkerKey,
  type WorkerRecord,
} from "../batch_command.ts";
import { IncarnationFences } from "./incarnation_fences.ts";
import type { LeaderContext } from "./leader_context.ts";
import { WorkerLink, type WorkerLinkOptions } from "./worker_link.ts";

/** Options of {@link WorkerLinks}. */
export interface WorkerLinksOptions extends LeaderContext {
  readonly mayLead: () => boolean;
  readonly onReport: WorkerLinkOptions["onReport"];
  /** Called when a worker answers for the first time, or again. */
  readonly onReached: () => void;
}

/**
 * Links started in one turn of the event loop. Each opens a connection and sends
 * a call; hundreds of them in one turn keep callers waiting.
 */
const LINKS_PER_TURN = 8;

/** All links of one leader. */
export class WorkerLinks {
  readonly #options: WorkerLinksOptions;
  readonly #links = new Map<WorkerKey, WorkerLink>();
  readonly #fences: IncarnationFences;

  constructor(options: WorkerLinksOptions) {
    this.#options = options;
    this.#fences = new IncarnationFences(options);
  }

  get(key: WorkerKey): WorkerLink | undefined {
    return this.#links.get(key);
  }

  /**
   * Opens links to the workers in the replicated state. They are started a few
   * in each turn of the event loop, so that callers are answered meanwhile; those
   * to workers with runs, whose leases may end soon, before the others.
   */
  openKnown(hasRuns: (key: WorkerKey) => boolean): void {
    const { workers } = this.#options.state;
    const links = [...workers.values()].sort((a, b) => a.bornMs - b.bornMs)
      .map((worker) => this.#open(worker));
    const isBusy = ({ worker }: WorkerLink) => hasRuns(worker.key);
    this.#startInTurns([
      ...links.filter(isBusy),
      ...links.filter((link) => !isBusy(link)),
    ]);
  }

  #startInTurns(links: readonly WorkerLink[]): void {
    links.slice(0, LINKS_PER_TURN).forEach((link) => link.start());
    const left = links.slice(LINKS_PER_TURN);
    if (left.length > 0) {
      setImmediate(() => this.#startInTurns(left));
    }
  }

  /**
   * Opens or updates the link to a worker that announced itself or changed.
   * True if the incarnation is new.
   */
  announce(worker: WorkerRecord): boolean {
    const known = this.#links.get(worker.key);
    if (known !== undefined) {
      known.worker = worker;
      return false;
    }
    this.#open(worker).start();
    return true;
  }

  /** Closes the link to an incarnation that is over. */
  drop(key: WorkerKey): void {
    this.#links.get(key)?.close();
    this.#links.delete(key);
  }

  /** The incarnations that are over, or answer no more. */
  absentKeys(): WorkerKey[] {
    return [...this.#links].filter(([, link]) => link.isAbsent)
      .map(([key]) => key);
  }

  /** The latest other incarnation of the same worker. */
  successorOf(key: WorkerKey): WorkerKey | undefined {
    const id = workerIdOf(key);
    return [...this.#options.state.workers.values()]
      .filter((worker) => worker.id === id && worker.key !== key)
      .sort((a, b) => b.bornMs - a.bornMs)[0]?.key;
  }

  close(): void {
    this.#links.forEach((link) => link.close());
  }

  #open(worker: WorkerRecord): WorkerLink {
    const { calls, clock, timing, events, mayLead, onReport } = this.#options;
    const link = new WorkerLink({
      worker,
      calls,
      clock,
      timing,
      fence: this.#fences.next(worker.id),
      mayLead,
      onReport,
      onReachabilityChange: ({ worker: { key } }, detail) =>
        this.#recordReachability(key, detail),
    });
    this.#links.set(worker.key, link);
    events.emit("batchWorkerJoined", {
      worker: worker.key,
      dataCentre: worker.dataCentre,
      isDraining: worker.isDraining,
    });
    return link;
  }

  #recordReachability(key: WorkerKey, detail: string | undefined): void {
    const { events, onReached } = this.#options;
    if (detail === undefined) {
      events.emit("batchWorkerReached", { worker: key });
      onReached();
    } else {
      events.emit("batchWorkerSilent", { worker: key, detail });
    }
  }
}
