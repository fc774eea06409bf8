/**
 * Shares out the slots of one service's backend servers among the instances
 * of a data centre, by demand. A slot that is taken from one instance is
 * given to another only after the first has said that it no longer uses it,
 * so a server's slots are never promised twice.
 *
 * @module
 */

import type { BackendServerId, InstanceId } from "../../../base/identity.ts";

/** Slots by server. */
export type SlotCounts = ReadonlyMap<BackendServerId, number>;

/** What one instance reports. */
export interface SlotReport {
  readonly instanceId: InstanceId;
  /** Calls of the service that it has on their way or waiting. */
  readonly demand: number;
  /** The newest grant that it obeys; 0 for none. */
  readonly grantId: number;
  /** Slots in use or still promised by an earlier allocator. */
  readonly holds: SlotCounts;
}

/** The slots that one instance may use from now on. */
export interface SlotGrant {
  readonly instanceId: InstanceId;
  readonly grantId: number;
  readonly slots: SlotCounts;
}

/** Fewer slots than this aren't taken back. */
const SMALLEST_CHANGE = 2;

/**
 * The part of an even share that an idle instance keeps, so that its first
 * calls needn't wait for a round.
 */
const IDLE_FRACTION = 0.25;

/** How much of an earlier peak of demand counts after one round. */
const DEMAND_DECAY = 0.9;

/** Reports without a confirmation after which a grant is sent again. */
const REPORTS_TO_RESEND = 3;

interface Holder {
  readonly instanceId: InstanceId;
  demand: number;
  grantId: number;
  /** Reports since the latest grant that did not confirm it. */
  unconfirmedReports: number;
  granted: Map<BackendServerId, number>;
  /** What it may still use, though it was told not to. */
  lingering: Map<BackendServerId, number>;
}

/** Decides which instance may use which slots. */
export class SlotAllocator {
  readonly #holders = new Map<InstanceId, Holder>();
  #lastGrantId: number;

  /** `firstGrantId` must be above the ids of earlier allocators. */
  constructor(options: { firstGrantId: number }) {
    this.#lastGrantId = options.firstGrantId;
  }

  get instanceIds(): InstanceId[] {
    return [...this.#holders.keys()];
  }

  report(report: SlotReport): void {
    const holder = this.#holderOf(report.instanceId);
    holder.demand = Math.max(report.demand, holder.demand * DEMAND_DECAY);
    const isFirst = holder.grantId === 0;
    if (isFirst) {
      holder.granted = new Map(report.holds);
    }
    if (isFirst || report.grantId >= holder.grantId) {
      holder.unconfirmedReports = 0;
      holder.lingering = new Map(report.holds);
    } else {
      holder.unconfirmedReports += 1;
    }
  }

  /** Forgets an instance that is gone, with all that it held. */
  drop(instanceId: InstanceId): void {
    this.#holders.delete(instanceId);
  }

  /** The grants that change now. */
  allocate(capacity: SlotCounts): SlotGrant[] {
    const holders = [...this.#holders.values()]
      .sort((left, right) => left.instanceId < right.instanceId ? -1 : 1);
    const total = sum(capacity.values());
    const floor = Math.ceil(
      total * IDLE_FRACTION / Math.max(1, holders.length),
    );
    const targets = shareOut(
      total,
      holders.map(({ demand }) => Math.max(floor, demand)),
    );
    const changed = new Set<Holder>();
    holders.forEach((holder, at) => {
      if (this.#lower(holder, targets[at] ?? 0, capacity)) {
        changed.add(holder);
      }
    });
    holders.forEach((holder, at) => {
      if (this.#raise(holder, { target: targets[at] ?? 0, capacity })) {
        changed.add(holder);
      }
    });
    const grants = [...changed].map((holder) => this.#grant(holder));
    const lost = holders.filter((holder) =>
      !changed.has(holder) && holder.unconfirmedReports >= REPORTS_TO_RESEND
    );
    return [...grants, ...lost.map(describeGrant)];
  }

  #holderOf(instanceId: InstanceId): Holder {
    const known = this.#holders.get(instanceId);
    const holder = known ?? {
      instanceId,
      demand: 0,
      grantId: 0,
      unconfirmedReports: 0,
      granted: new Map<BackendServerId, number>(),
      lingering: new Map<BackendServerId, number>(),
    };
    this.#holders.set(instanceId, holder);
    return holder;
  }

  /** Takes back what is over the target, and slots that no longer exist. */
  #lower(holder: Holder, target: number, capacity: SlotCounts): boolean {
    let isChanged = false;
    for (const [serverId, slots] of [...holder.granted]) {
      const most = capacity.get(serverId) ?? 0;
      if (slots > most) {
        this.#set(holder, serverId, most);
        isChanged = true;
      }
    }
    let excess = sum(holder.granted.values()) - target;
    if (excess < SMALLEST_CHANGE) {
      return isChanged;
    }
    while (excess > 0) {
      const serverId = largest(holder.granted);
      this.#set(holder, serverId, (holder.granted.get(serverId) ?? 0) - 1);
      excess -= 1;
    }
    return true;
  }

  #raise(
    holder: Holder,
    options: { target: number; capacity: SlotCounts },
  ): boolean {
    const { target, capacity } = options;
    let missing = target - sum(holder.granted.values());
    const free = this.#freeSlots(capacity);
    let isChanged = holder.grantId === 0;
    while (missing > 0) {
      const serverId = this.#bestServer(holder, free);
      if (serverId === undefined) {
        break;
      }
      const slots = (holder.granted.get(serverId) ?? 0) + 1;
      holder.granted.set(serverId, slots);
      free.set(serverId, (free.get(serverId) ?? 0) - 1);
      missing -= 1;
      isChanged = true;
    }
    return isChanged;
  }

  /** Slots of each server that nobody holds or may still use. */
  #freeSlots(capacity: SlotCounts): Map<BackendServerId, number> {
    const free = new Map(capacity);
    for (const holder of this.#holders.values()) {
      for (const serverId of capacity.keys()) {
        const taken = Math.max(
          holder.granted.get(serverId) ?? 0,
          holder.lingering.get(serverId) ?? 0,
        );
        free.set(serverId, (free.get(serverId) ?? 0) - taken);
      }
    }
    return free;
  }

  /** Where the instance has least, and among those where most is free. */
  #bestServer(
    holder: Holder,
    free: SlotCounts,
  ): BackendServerId | undefined {
    let best: BackendServerId | undefined;
    let bestScore = -Infinity;
    for (const [serverId, slots] of free) {
      const score = slots - 1_000 * (holder.granted.get(serverId) ?? 0);
      if (slots > 0 && score > bestScore) {
        best = serverId;
        bestScore = score;
      }
    }
    return best;
  }

  #set(holder: Holder, serverId: BackendServerId, slots: number): void {
    const before = Math.max(
      holder.granted.get(serverId) ?? 0,
      holder.lingering.get(serverId) ?? 0,
    );
    holder.lingering.set(serverId, before);
    if (slots <= 0) {
      holder.granted.delete(serverId);
    } else {
      holder.granted.set(serverId, slots);
    }
  }

  #grant(holder: Holder): SlotGrant {
    this.#lastGrantId += 1;
    holder.grantId = this.#lastGrantId;
    return describeGrant(holder);
  }
}

function describeGrant(holder: Holder): SlotGrant {
  const { instanceId, grantId } = holder;
  holder.unconfirmedReports = 0;
  return { instanceId, grantId, slots: new Map(holder.granted) };
}

/** Max-min fair shares of the total; what nobody asks for is split evenly. */
export function shareOut(
  total: number,
  demands: readonly number[],
): number[] {
  const shares = demands.map(() => 0);
  let left = total;
  const order = demands.map((_, at) => at)
    .sort((a, b) => (demands[a] ?? 0) - (demands[b] ?? 0));
  order.forEach((at, place) => {
    const fair = left / (order.length - place);
    const share = Math.min(demands[at] ?? 0, Math.floor(fair));
    shares[at] = Math.floor(share);
    left -= shares[at] ?? 0;
  });
  const each = Math.floor(left / Math.max(1, shares.length));
  const rest = left - each * shares.length;
  return shares.map((share, at) => share + each + (at < rest ? 1 : 0));
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) {
    total += value;
  }
  return total;
}

function largest(counts: SlotCounts): BackendServerId {
  let best = "";
  let most = -Infinity;
  for (const [serverId, slots] of counts) {
    if (slots > most) {
      best = serverId;
      most = slots;
    }
  }
  return best;
}
