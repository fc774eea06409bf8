/**
 * The simulated links of the system, and the cuts and faults on them.
 *
 * @module
 */

import type { PeerNetwork } from "../../src/connection/peer_network.ts";
import type { FakePeerHub } from "../../src/process/replication/fake_peer_network.ts";
import type { FakeLinks } from "../../src/process/scheduler/runtime/testing/fake_links.ts";
import { SYSTEM_INSTANCES, type SystemInstanceId } from "./system_document.ts";
import { SYSTEM_WORKER_IDS } from "./system_workers.ts";

/** Links between instances, and between instances and workers. */
export class SystemLinks {
  readonly #hub: FakePeerHub;
  readonly #workerLinks: FakeLinks;
  readonly #isolated = new Set<SystemInstanceId>();
  readonly #oneWay = new Set<string>();
  #isRegionCut = false;

  constructor(options: { hub: FakePeerHub; workerLinks: FakeLinks }) {
    this.#hub = options.hub;
    this.#workerLinks = options.workerLinks;
  }

  join(id: SystemInstanceId): PeerNetwork {
    const peerIds = SYSTEM_INSTANCES.map((instance) => instance.id);
    return this.#hub.join(id, { peerIds });
  }

  /** Drops all messages to and from the instance, also those of workers. */
  isolate(id: SystemInstanceId): void {
    this.#isolated.add(id);
    this.#apply();
  }

  rejoin(id: SystemInstanceId): void {
    this.#isolated.delete(id);
    this.#apply();
  }

  /** Drops all messages from one instance to another. */
  cutOneWay(from: SystemInstanceId, to: SystemInstanceId): void {
    this.#oneWay.add(`${from} ${to}`);
    this.#apply();
  }

  /** Drops all messages between data centres, as each is a region. */
  cutRegions(): void {
    this.#isRegionCut = true;
    this.#apply();
  }

  /** Sets the loss, duplication and random delay of messages on all links. */
  setConditions(conditions: { rate: number; jitterMs: number }): void {
    const { rate, jitterMs } = conditions;
    Object.assign(this.#hub.faults, {
      lossRate: rate,
      duplicateRate: rate,
      jitterMs,
    });
    this.#workerLinks.conditions = {
      lostPerMille: rate * 1_000,
      doubledPerMille: rate * 1_000,
      latePerMille: rate * 1_000,
      lateMs: jitterMs * 10,
      delayMs: 2,
    };
  }

  /** Ends every cut and fault. */
  heal(): void {
    this.#isolated.clear();
    this.#oneWay.clear();
    this.#isRegionCut = false;
    this.setConditions({ rate: 0, jitterMs: 0 });
    this.#apply();
  }

  #apply(): void {
    this.#hub.heal();
    this.#workerLinks.heal();
    for (const from of SYSTEM_INSTANCES) {
      for (const to of SYSTEM_INSTANCES) {
        const isAcross = from.dataCentre !== to.dataCentre;
        const isCut = (this.#isRegionCut && isAcross) ||
          this.#isolated.has(from.id) || this.#isolated.has(to.id) ||
          this.#oneWay.has(`${from.id} ${to.id}`);
        if (isCut) {
          this.#hub.cut(from.id, to.id);
        }
      }
    }
    for (const id of this.#isolated) {
      for (const workerId of SYSTEM_WORKER_IDS) {
        this.#workerLinks.cut(id, workerId);
        this.#workerLinks.cut(workerId, id);
      }
    }
  }
}
