/**
 * The leader's links to all known worker incarnations.
 *
 * @module
 */

import type { WorkerKey, WorkerRecord } from "../batch_command.ts";
import { IncarnationFences } from "./incarnation_fences.ts";
import type { LeaderContext } from "./leader_context.ts";
import { WorkerLink, type WorkerLinkOptions } from "./worker_link.ts";

/** Options of {@link WorkerLinks}. */
export interface WorkerLinksOptions extends LeaderContext {
  readonly mayLead: () => boolean;
  readonly onReport: WorkerLinkOptions["onReport"];
  /** Called when a worker answers for the first time, or again. */
  readonly onReached: (key: WorkerKey, options: { isFirst: boolean }) => void;
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
  /** Incarnations that have not answered yet. */
  readonly #unreached = new Set<WorkerKey>();
  #isClosed = false;

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
   * True if the link is new. One to another address is, since what the address
   * before has answered proves nothing there.
   */
  announce(worker: WorkerRecord): boolean {
    const known = this.#links.get(worker.key);
    if (known?.worker.address === worker.address) {
      known.worker = worker;
      return false;
    }
    if (this.#isClosed) {
      return false;
    }
    this.drop(worker.key);
    this.#open(worker).start();
    return true;
  }

  /** Closes the link to an incarnation that is over. */
  drop(key: WorkerKey): void {
    this.#links.get(key)?.close();
    this.#links.delete(key);
    this.#unreached.delete(key);
  }

  /**
   * The incarnations whose records are of no use: they are over, answer no more,
   * or were removed; or they are silent and another one with their ID or at
   * their address answers.
   */
  absentKeys(): WorkerKey[] {
    const { workers } = this.#options.state;
    return [...this.#links.values()].filter((link) =>
      link.isAbsent || !workers.has(link.worker.key) ||
      this.successorOf(link.worker.key) !== undefined ||
      (link.isSilent &&
        this.#conflicting(link.worker).some((other) => other.isReachable))
    ).map(({ worker }) => worker.key);
  }

  /**
   * The latest later incarnation that has answered at the incarnation's own
   * address, which proves that this one is over. A worker with its ID that
   * answers at another address proves nothing.
   */
  successorOf(key: WorkerKey): WorkerKey | undefined {
    return this.#laterAtAddress(key).find((link) => link.hasProvenStart)
      ?.worker.key;
  }

  /** The latest later incarnation that was announced at its address. */
  announcedAfter(key: WorkerKey): WorkerKey | undefined {
    return this.#laterAtAddress(key)[0]?.worker.key;
  }

  /** The latest one first. None is known to be later than one without a start. */
  #laterAtAddress(key: WorkerKey): WorkerLink[] {
    const worker = this.#links.get(key)?.worker;
    if (worker === undefined || worker.bornMs === 0) {
      return [];
    }
    return this.#atAddress(worker)
      .filter((other) => other.worker.bornMs > worker.bornMs)
      .sort((a, b) => b.worker.bornMs - a.worker.bornMs);
  }

  /**
   * Whether an announcement of a worker is out of date or of another writer: the
   * known one that it would displace answers, or may have runs.
   */
  isRefuted(
    worker: WorkerRecord,
    hasRuns: (key: WorkerKey) => boolean,
  ): boolean {
    const known = this.#options.state.workers.get(worker.key);
    if (known !== undefined) {
      const isMoved = known.address !== worker.address;
      const isInUse = this.#links.get(worker.key)?.isReachable === true ||
        hasRuns(worker.key);
      return isMoved && isInUse;
    }
    return this.#conflicting(worker).some((link) => {
      const { bornMs, key, address } = link.worker;
      const mayRunOn = link.hasReported && !link.isSilent;
      // Answers at the address don't tell workers of one start apart.
      return (bornMs > worker.bornMs && mayRunOn) ||
        (bornMs === worker.bornMs && address === worker.address &&
          hasRuns(key));
    });
  }

  /** Links to other incarnations with the worker's ID or at its address. */
  #conflicting(worker: WorkerRecord): WorkerLink[] {
    return this.#options.state.conflictingWorkers(worker)
      .map(({ key }) => this.#links.get(key))
      .filter((link) => link !== undefined);
  }

  #atAddress(worker: WorkerRecord): WorkerLink[] {
    return this.#conflicting(worker).filter((other) =>
      other.worker.address === worker.address
    );
  }

  close(): void {
    this.#isClosed = true;
    this.#links.forEach((link) => link.close());
  }

  #open(worker: WorkerRecord): WorkerLink {
    const { calls, clock, timing, events, mayLead, onReport } = this.#options;
    const fence = this.#fences.next(worker.address);
    const others = this.#atAddress(worker);
    const probeFence = Math.min(fence, ...others.map((other) => other.fence));
    others.forEach((other) => other.doubt());
    const link = new WorkerLink({
      worker,
      calls,
      clock,
      timing,
      fence,
      nextFence: () =>
        this.#atAddress(worker).length === 0
          ? this.#fences.next(worker.address)
          : undefined,
      probeFence,
      mayLead,
      onReport,
      onReachabilityChange: ({ worker: { key } }, detail) =>
        this.#recordReachability(key, detail),
    });
    this.#links.set(worker.key, link);
    this.#unreached.add(worker.key);
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
      onReached(key, { isFirst: this.#unreached.delete(key) });
    } else {
      events.emit("batchWorkerSilent", { worker: key, detail });
    }
  }
}
