/**
 * Shares the backend servers' slots among the instances of a data centre: the
 * usable instance with the lowest ID allocates, the others report to it.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import type { InstanceId, ServiceId } from "../../base/identity.ts";
import type {
  PeerChannel,
  PeerNetwork,
  Received,
} from "../../connection/peer_network.ts";
import {
  SlotAllocator,
  type SlotCounts,
  type SlotGrant,
  type SlotReport,
} from "./core/slot_allocator.ts";
import type { Router } from "./router.ts";
import { decodeSlotMessage, type SlotMessage } from "./slot_message.ts";

/** Options of a {@link SlotSharing}. */
export interface SlotSharingOptions {
  readonly selfId: InstanceId;
  /**
   * The instances of this data centre that accept new work, including this one
   * unless it is leaving.
   */
  readonly usableInstances: () => readonly InstanceId[];
  /** All reachable ones; also leaving ones, since they still use slots. */
  readonly reachableInstances: () => readonly InstanceId[];
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly router: Pick<Router, "core" | "handle">;
}

/** Period of demand reports and slot allocation. */
const ROUND_MS = 100;

/** How long a new allocator waits for the reports of all instances. */
const REPORT_WAIT_MS = 1_000;

/** How long an instance waits for its first grant, then uses an even share. */
const FALLBACK_DELAY_MS = 2_000;

interface ServiceShare {
  /** The newest grant of the current allocator; 0 for none. */
  grantId: number;
  granted: SlotCounts;
  /** Whether slots were ever granted, also by an earlier allocator. */
  hasGrant: boolean;
  allocator: SlotAllocator | undefined;
}

/** One instance's side of slot sharing. */
export class SlotSharing {
  readonly #options: SlotSharingOptions;
  readonly #channel: PeerChannel<SlotMessage>;
  readonly #timer: Timer;
  readonly #shares = new Map<ServiceId, ServiceShare>();
  #allocatorId: InstanceId | undefined;
  #allocatorSinceMs = 0;

  constructor(options: SlotSharingOptions) {
    this.#options = options;
    this.#channel = options.network.channel({
      name: "slots",
      decode: decodeSlotMessage,
    });
    this.#channel.received.observe((received) => this.#receive(received));
    this.#timer = options.clock.every(ROUND_MS, () => this.#runRound());
    this.#runRound();
  }

  close(): void {
    this.#timer.close();
    this.#channel.close();
  }

  #runRound(): void {
    this.#chooseAllocator();
    for (const service of this.#options.router.core.services.keys()) {
      this.#runServiceRound(service, this.#shareOf(service));
    }
  }

  /** The lowest ID among usable instances, so that all choose the same one. */
  #chooseAllocator(): void {
    const { selfId, usableInstances, clock } = this.#options;
    const [lowest = selfId] = [...usableInstances()].sort();
    if (lowest === this.#allocatorId) {
      return;
    }
    this.#allocatorId = lowest;
    this.#allocatorSinceMs = clock.nowMs();
    for (const share of this.#shares.values()) {
      share.grantId = 0;
      share.allocator = undefined;
    }
  }

  #shareOf(service: ServiceId): ServiceShare {
    const known = this.#shares.get(service);
    if (known !== undefined) {
      return known;
    }
    const share: ServiceShare = {
      grantId: 0,
      granted: new Map(),
      hasGrant: false,
      allocator: undefined,
    };
    this.#shares.set(service, share);
    this.#applySlots(service, { share, slots: share.granted });
    return share;
  }

  #runServiceRound(service: ServiceId, share: ServiceShare): void {
    const { selfId, clock } = this.#options;
    const report = this.#report(service, share);
    if (this.#allocatorId === selfId) {
      this.#allocate(service, { share, report });
    } else if (this.#allocatorId !== undefined) {
      this.#channel.send(this.#allocatorId, {
        kind: "report",
        service,
        demand: report.demand,
        grantId: report.grantId,
        holds: [...report.holds],
      });
    }
    const waitedMs = clock.nowMs() - this.#allocatorSinceMs;
    if (!share.hasGrant && waitedMs > FALLBACK_DELAY_MS) {
      this.#applySlots(service, { share, slots: this.#evenShare(service) });
    }
  }

  /**
   * For a new allocator, lists all slots in use or granted; otherwise only the
   * servers with more slots in use than granted.
   */
  #report(service: ServiceId, share: ServiceShare): SlotReport {
    const router = this.#options.router.core.services.get(service);
    const inUse = router?.servers.inUse() ?? new Map<string, number>();
    const holds = new Map<string, number>();
    for (const [serverId, slots] of inUse) {
      if (share.grantId === 0 || slots > (share.granted.get(serverId) ?? 0)) {
        holds.set(serverId, slots);
      }
    }
    if (share.grantId === 0) {
      for (const [serverId, slots] of share.granted) {
        holds.set(serverId, Math.max(slots, holds.get(serverId) ?? 0));
      }
    }
    return {
      instanceId: this.#options.selfId,
      demand: router?.openCalls ?? 0,
      grantId: share.grantId,
      holds,
    };
  }

  #allocate(
    service: ServiceId,
    { share, report }: { share: ServiceShare; report: SlotReport },
  ): void {
    const { clock, reachableInstances, selfId } = this.#options;
    share.allocator ??= new SlotAllocator({
      lastGrantId: Math.floor(clock.nowMs()),
    });
    const { allocator } = share;
    allocator.report(report);
    const reachable = new Set([selfId, ...reachableInstances()]);
    allocator.instanceIds.filter((id) => !reachable.has(id))
      .forEach((id) => allocator.removeInstance(id));
    const hasAllReports = allocator.instanceIds.length >= reachable.size ||
      clock.nowMs() - this.#allocatorSinceMs > REPORT_WAIT_MS;
    if (hasAllReports) {
      const capacity = this.#capacity(service);
      allocator.allocate(capacity).forEach((grant) =>
        this.#sendGrant(service, { share, grant })
      );
    }
  }

  #sendGrant(
    service: ServiceId,
    { share, grant }: { share: ServiceShare; grant: SlotGrant },
  ): void {
    const { instanceId, grantId, slots } = grant;
    if (instanceId === this.#options.selfId) {
      this.#acceptGrant(service, { share, grantId, slots });
      return;
    }
    const message = { kind: "grant", service, grantId } as const;
    this.#channel.send(instanceId, { ...message, slots: [...slots] });
  }

  #receive({ from, message }: Received<SlotMessage>): void {
    const { service } = message;
    const share = this.#shares.get(service);
    if (message.kind === "report") {
      const { demand, grantId, holds } = message;
      const report = { demand, grantId, holds: new Map(holds) };
      share?.allocator?.report({ instanceId: from, ...report });
      return;
    }
    const isCurrent = from === this.#allocatorId && share !== undefined &&
      message.grantId > share.grantId;
    if (isCurrent) {
      const slots = new Map(message.slots);
      this.#acceptGrant(service, { share, grantId: message.grantId, slots });
    }
  }

  #acceptGrant(
    service: ServiceId,
    grant: { share: ServiceShare; grantId: number; slots: SlotCounts },
  ): void {
    grant.share.grantId = grant.grantId;
    grant.share.hasGrant = true;
    this.#applySlots(service, grant);
  }

  #applySlots(
    service: ServiceId,
    { share, slots }: { share: ServiceShare; slots: SlotCounts },
  ): void {
    share.granted = slots;
    const atMs = this.#options.clock.nowMs();
    const kind = "slotsAllotted";
    this.#options.router.handle({ kind, atMs, service, slots });
  }

  #capacity(service: ServiceId): Map<string, number> {
    const nowMs = this.#options.clock.nowMs();
    const router = this.#options.router.core.services.get(service);
    return router?.servers.capacity(nowMs) ?? new Map();
  }

  /**
   * An even share, for use until the first grant. Shares of instances that see
   * the same instances and servers are disjoint.
   */
  #evenShare(service: ServiceId): Map<string, number> {
    const { selfId, reachableInstances } = this.#options;
    const ids = [...new Set([selfId, ...reachableInstances()])].sort();
    const ownIndex = ids.indexOf(selfId);
    const share = new Map<string, number>();
    let slotIndex = 0;
    for (const [serverId, slots] of [...this.#capacity(service)].sort()) {
      for (let slot = 0; slot < slots; slot += 1) {
        if (slotIndex % ids.length === ownIndex) {
          share.set(serverId, (share.get(serverId) ?? 0) + 1);
        }
        slotIndex += 1;
      }
    }
    return share;
  }
}
