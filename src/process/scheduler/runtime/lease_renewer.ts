/**
 * Renews the leases of gangs, and lets workers forget ended attempts.
 *
 * @module
 */

import type { WorkerId } from "../../../base/identity.ts";
import type { Gang } from "./gang.ts";
import type { SessionContext } from "./session_context.ts";
import type { AttemptReference } from "./worker_command.ts";

/** Options of {@link LeaseRenewer}. */
export interface LeaseRenewerOptions {
  readonly context: SessionContext;
  readonly gangs: () => Iterable<Gang>;
}

/** Renews leases during one leader session. */
export class LeaseRenewer {
  readonly #options: LeaseRenewerOptions;
  readonly #pendingForgets = new Map<WorkerId, Map<string, AttemptReference>>();

  constructor(options: LeaseRenewerOptions) {
    this.#options = options;
  }

  /** Lets the worker forget an ended attempt with the next renewal. */
  forget(workerId: WorkerId, reference: AttemptReference): void {
    const { jobId, attempt } = reference;
    const references = this.#pendingForgets.get(workerId) ?? new Map();
    references.set(`${jobId}/${attempt}`, { jobId, attempt });
    this.#pendingForgets.set(workerId, references);
  }

  /** Sends a renewal to each worker with leases to renew or tasks to forget. */
  renewAll(): void {
    const byWorker = new Map<WorkerId, Gang[]>();
    for (const gang of this.#options.gangs()) {
      if (gang.needsRenewal) {
        gang.workerIds.forEach((workerId) => {
          byWorker.set(workerId, [...byWorker.get(workerId) ?? [], gang]);
        });
      }
    }
    const workerIds = new Set([
      ...byWorker.keys(),
      ...this.#pendingForgets.keys(),
    ]);
    for (const workerId of workerIds) {
      void this.#renew(workerId, byWorker.get(workerId) ?? []);
    }
  }

  /** Renews one gang's leases immediately. */
  renewGang(gang: Gang): void {
    gang.workerIds.forEach((workerId) => void this.#renew(workerId, [gang]));
  }

  async #renew(workerId: WorkerId, gangs: readonly Gang[]): Promise<void> {
    const { caller, clock } = this.#options.context;
    const forget = [...this.#pendingForgets.get(workerId)?.values() ?? []];
    this.#pendingForgets.delete(workerId);
    const leases = gangs.map((gang) => ({
      gang,
      endMs: this.#leaseEndMs(gang),
    })).filter(({ endMs }) => endMs > clock.nowMs());
    leases.forEach(({ gang, endMs }) => gang.grant(workerId, endMs));
    const result = await caller.call(workerId, {
      buildCommand: (toWorkerMs) => ({
        kind: "renew",
        leases: leases.map(({ gang, endMs }) => ({
          jobId: gang.jobId,
          attempt: gang.attempt,
          leaseEndMs: toWorkerMs(endMs),
        })),
        forget,
      }),
    });
    result.ifRight(({ answer, sentAtMs }) => {
      if (answer.refusal !== undefined) {
        return;
      }
      for (const gang of gangs) {
        if (gang.isConfirmedBy(workerId, answer.holdings.tasks)) {
          gang.confirm(workerId, sentAtMs);
        }
      }
    });
  }

  #leaseEndMs(gang: Gang): number {
    const { lease, clock } = this.#options.context;
    if (this.#options.context.omits("gangEvidence")) {
      return clock.nowMs() + lease.leaseMs;
    }
    return gang.renewalEndMs(lease.leaseMs);
  }
}
