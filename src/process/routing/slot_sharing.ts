/**
 * Shares the backend servers' slots among the instances of a data centre:
 * the instance with the lowest name allocates, the others report to it.
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

/** What the sharing is built from. */
export interface SlotSharingOptions {
  readonly selfId: InstanceId;
  /**
   * The instances of this data centre that take new work, this one included
   * unless it is leaving.
   */
  readonly usableInstances: () => readonly InstanceId[];
  /** Those that are there at all; one that leaves still uses its slots. */
  readonly presentInstances: () => readonly InstanceId[];
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly router: Pick<Router, "core" | "handle">;
}

/** How often demand is reported and slots are shared out. */
const ROUND_MS = 100;

/** How long a new allocator waits for the reports of all. */
const GATHER_MS = 1_000;

/** How long an instance without a grant waits before it takes its part. */
const FALLBACK_MS = 2_000;

interface ServiceShare {
  grantId: number;
  granted: SlotCounts;
  hasGrant: boolean;
  allocator: SlotAllocator | undefined;
}

/** One instance's part in the sharing. */
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
    this.#timer = options.clock.every(ROUND_MS, () => this.#round());
    this.#round();
  }

  close(): void {
    this.#timer.close();
    this.#channel.close();
  }

  #round(): void {
    this.#chooseAllocator();
    for (const service of this.#options.router.core.services.keys()) {
      this.#roundOf(service, this.#shareOf(service));
    }
  }

  /** The lowest name among those that work; every instance finds the same. */
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
    this.#obey(service, { share, slots: share.granted });
    return share;
  }

  #roundOf(service: ServiceId, share: ServiceShare): void {
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
    if (!share.hasGrant && waitedMs > FALLBACK_MS) {
      this.#obey(service, { share, slots: this.#evenPart(service) });
    }
  }

  /** Full holds for a new allocator, else only what is over the grant. */
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
      demand: router?.open ?? 0,
      grantId: share.grantId,
      holds,
    };
  }

  #allocate(
    service: ServiceId,
    { share, report }: { share: ServiceShare; report: SlotReport },
  ): void {
    const { clock, presentInstances, selfId } = this.#options;
    share.allocator ??= new SlotAllocator({
      firstGrantId: Math.floor(clock.nowMs()),
    });
    const { allocator } = share;
    allocator.report(report);
    const present = new Set([selfId, ...presentInstances()]);
    allocator.instanceIds.filter((id) => !present.has(id))
      .forEach((id) => allocator.drop(id));
    const isGathered = allocator.instanceIds.length >= present.size ||
      clock.nowMs() - this.#allocatorSinceMs > GATHER_MS;
    if (isGathered) {
      const capacity = this.#capacity(service);
      allocator.allocate(capacity).forEach((grant) =>
        this.#give(service, { share, grant })
      );
    }
  }

  #give(
    service: ServiceId,
    { share, grant }: { share: ServiceShare; grant: SlotGrant },
  ): void {
    const { instanceId, grantId, slots } = grant;
    if (instanceId === this.#options.selfId) {
      this.#accept(service, { share, grantId, slots });
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
      this.#accept(service, { share, grantId: message.grantId, slots });
    }
  }

  #accept(
    service: ServiceId,
    grant: { share: ServiceShare; grantId: number; slots: SlotCounts },
  ): void {
    grant.share.grantId = grant.grantId;
    grant.share.hasGrant = true;
    this.#obey(service, grant);
  }

  #obey(
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

  /** This instance's part when no allocator answers, disjoint from others'. */
  #evenPart(service: ServiceId): Map<string, number> {
    const { selfId, presentInstances } = this.#options;
    const ids = [...new Set([selfId, ...presentInstances()])].sort();
    const place = ids.indexOf(selfId);
    const part = new Map<string, number>();
    let at = 0;
    for (const [serverId, slots] of [...this.#capacity(service)].sort()) {
      for (let slot = 0; slot < slots; slot += 1) {
        if (at % ids.length === place) {
          part.set(serverId, (part.get(serverId) ?? 0) + 1);
        }
        at += 1;
      }
    }
    return part;
  }
}
