/**
 * Turns worker updates, and their absence, into scheduler events.
 *
 * @module
 */

import type { WorkerId } from "../../../base/identity.ts";
import type { TaskReference } from "../core/scheduler_event.ts";
import type { SessionContext } from "./session_context.ts";
import type { WorkerEntry, WorkerUpdate } from "./worker_table.ts";

interface Watched {
  readonly incarnation: number;
  isLeaving: boolean;
}

/** Watches the workers during one leader session. */
export class WorkerWatcher {
  readonly #context: SessionContext;
  readonly #watched = new Map<WorkerId, Watched>();

  constructor(context: SessionContext) {
    this.#context = context;
  }

  /** Feeds `workerJoined`, with the tasks that the worker already runs. */
  join(entry: WorkerEntry, running: readonly TaskReference[]): void {
    const { description, incarnation } = entry;
    const { workerId } = description;
    const atMs = this.#context.clock.nowMs();
    this.#watched.set(workerId, { incarnation, isLeaving: false });
    this.#context.events.emit("workerJoined", { worker: workerId });
    this.#context.feed({
      kind: "workerJoined",
      atMs,
      worker: description,
      running,
    });
    this.#recordLeaving(entry);
  }

  handleUpdate(update: WorkerUpdate): void {
    const { entry } = update;
    const { workerId } = entry.description;
    const watched = this.#watched.get(workerId);
    if (watched?.incarnation !== entry.incarnation) {
      if (watched !== undefined) {
        this.#lose(workerId);
      }
      this.join(entry, []);
    }
    this.#recordLeaving(entry);
    if (update.hasUsages) {
      this.#feedUsages(entry);
    }
  }

  /** Feeds `workerLost` for workers that sent nothing for `leaseMs`. */
  loseSilentWorkers(): void {
    const { clock, lease, workers } = this.#context;
    const nowMs = clock.nowMs();
    for (const workerId of [...this.#watched.keys()]) {
      const receivedAtMs = workers.get(workerId)?.anchor.receivedAtMs ?? 0;
      if (receivedAtMs + lease.leaseMs < nowMs) {
        this.#lose(workerId);
      }
    }
  }

  #lose(workerId: WorkerId): void {
    const atMs = this.#context.clock.nowMs();
    this.#watched.delete(workerId);
    this.#context.events.emit("workerLost", { worker: workerId });
    this.#context.feed({ kind: "workerLost", atMs, workerId });
  }

  #recordLeaving(entry: WorkerEntry): void {
    const { workerId } = entry.description;
    const watched = this.#watched.get(workerId);
    if (!entry.isLeaving || watched === undefined || watched.isLeaving) {
      return;
    }
    watched.isLeaving = true;
    const atMs = this.#context.clock.nowMs();
    this.#context.feed({ kind: "workerLeaving", atMs, workerId });
  }

  #feedUsages(entry: WorkerEntry): void {
    const { receivedAtMs } = entry.anchor;
    this.#context.feed({
      kind: "workerUsageReported",
      atMs: this.#context.clock.nowMs(),
      workerId: entry.description.workerId,
      usages: entry.usages.map(({ checkpointAgeMs, ...usage }) => ({
        ...usage,
        ...(checkpointAgeMs === undefined
          ? {}
          : { checkpointedAtMs: receivedAtMs - checkpointAgeMs }),
      })),
    });
  }
}
