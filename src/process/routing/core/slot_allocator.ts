/**
 * Divides the slots of one service's backend servers among the instances of a
 * data centre, by demand. A slot that is taken back from one instance is
 * granted to another only after the first has confirmed that it no longer uses
 * it, so no slot is granted to two instances at once.
 *
 * @module
 */

import type { BackendServerId, InstanceId } from "../../../base/identity.ts";

/** Slots by server. */
export type SlotCounts = ReadonlyMap<BackendServerId, number>;

/** One instance's report to the allocator. */
export interface SlotReport {
  readonly instanceId: InstanceId;
  /** Calls of the service that haven't ended at the instance. */
  readonly demand: number;
  /** The newest grant that it has applied; 0 for none. */
  readonly grantId: number;
  /**
   * All slots in use on each server where they exceed that grant. When
   * `grantId` is 0: all slots in use or granted by an earlier allocator.
   */
  readonly holds: SlotCounts;
}

/** The slots that one instance may use from now on. */
export interface SlotGrant {
  readonly instanceId: InstanceId;
  readonly grantId: number;
  readonly slots: SlotCounts;
}

/** A smaller excess over an instance's target isn't taken back. */
const MIN_RECLAIMED_SLOTS = 2;

/**
 * The fraction of an even share that an idle instance keeps, so that its first
 * calls needn't wait for a round of allocation.
 */
const IDLE_SHARE_FRACTION = 0.25;

/** Factor by which a past peak of demand decays with each report. */
const DEMAND_DECAY = 0.9;

/** A grant is sent again after this many reports that don't confirm it. */
const RESEND_AFTER_REPORTS = 3;

interface Holder {
  readonly instanceId: InstanceId;
  demand: number;
  grantId: number;
  /** Reports since the latest grant was sent that don't confirm it. */
  unconfirmedReports: number;
  granted: Map<BackendServerId, number>;
  /** Slots that it may still use although they were taken back. */
  unreleased: Map<BackendServerId, number>;
}

/** Decides which instance may use which slots. */
export class SlotAllocator {
  readonly #holders = new Map<InstanceId, Holder>();
  #lastGrantId: number;

  /**
   * The first grant gets the ID after the given one, which must be at least the
   * last ID of earlier allocators.
   */
  constructor(options: { lastGrantId: number }) {
    this.#lastGrantId = options.lastGrantId;
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
      holder.unreleased = new Map(report.holds);
    } else {
      holder.unconfirmedReports += 1;
    }
  }

  /** Removes an instance that can't be reached and frees its slots. */
  removeInstance(instanceId: InstanceId): void {
    this.#holders.delete(instanceId);
  }

  /** The grants to send: those that change, and unconfirmed ones again. */
  allocate(capacity: SlotCounts): SlotGrant[] {
    const holders = [...this.#holders.values()]
      .sort((left, right) => left.instanceId < right.instanceId ? -1 : 1);
    const total = sum(capacity.values());
    const idleShare = Math.ceil(
      total * IDLE_SHARE_FRACTION / Math.max(1, holders.length),
    );
    const targets = fairShares(
      total,
      holders.map(({ demand }) => Math.max(idleShare, demand)),
    );
    const changed = new Set<Holder>();
    holders.forEach((holder, index) => {
      if (this.#reduce(holder, targets[index] ?? 0, capacity)) {
        changed.add(holder);
      }
    });
    holders.forEach((holder, index) => {
      if (this.#increase(holder, { target: targets[index] ?? 0, capacity })) {
        changed.add(holder);
      }
    });
    const grants = [...changed].map((holder) => this.#grant(holder));
    const unconfirmed = holders.filter((holder) =>
      !changed.has(holder) && holder.unconfirmedReports >= RESEND_AFTER_REPORTS
    );
    return [...grants, ...unconfirmed.map(describeGrant)];
  }

  #holderOf(instanceId: InstanceId): Holder {
    const known = this.#holders.get(instanceId);
    const holder = known ?? {
      instanceId,
      demand: 0,
      grantId: 0,
      unconfirmedReports: 0,
      granted: new Map<BackendServerId, number>(),
      unreleased: new Map<BackendServerId, number>(),
    };
    this.#holders.set(instanceId, holder);
    return holder;
  }

  /** Takes back slots over the target and slots that no longer exist. */
  #reduce(holder: Holder, target: number, capacity: SlotCounts): boolean {
    let isChanged = false;
    for (const [serverId, slots] of [...holder.granted]) {
      const limit = capacity.get(serverId) ?? 0;
      if (slots > limit) {
        this.#setGranted(holder, serverId, limit);
        isChanged = true;
      }
    }
    let excess = sum(holder.granted.values()) - target;
    if (excess < MIN_RECLAIMED_SLOTS) {
      return isChanged;
    }
    while (excess > 0) {
      const serverId = largest(holder.granted);
      this.#setGranted(
        holder,
        serverId,
        (holder.granted.get(serverId) ?? 0) - 1,
      );
      excess -= 1;
    }
    return true;
  }

  #increase(
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

  /** Slots of each server that no instance is granted or may still use. */
  #freeSlots(capacity: SlotCounts): Map<BackendServerId, number> {
    const free = new Map(capacity);
    for (const holder of this.#holders.values()) {
      for (const serverId of capacity.keys()) {
        const reserved = Math.max(
          holder.granted.get(serverId) ?? 0,
          holder.unreleased.get(serverId) ?? 0,
        );
        free.set(serverId, (free.get(serverId) ?? 0) - reserved);
      }
    }
    return free;
  }

  /**
   * Of the servers with a free slot, the one with the fewest slots granted to
   * the holder; among equals, the one with the most free slots.
   */
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

  #setGranted(holder: Holder, serverId: BackendServerId, slots: number): void {
    const reserved = Math.max(
      holder.granted.get(serverId) ?? 0,
      holder.unreleased.get(serverId) ?? 0,
    );
    holder.unreleased.set(serverId, reserved);
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

/** The grant to send; restarts the count of reports that don't confirm it. */
function describeGrant(holder: Holder): SlotGrant {
  const { instanceId, grantId } = holder;
  holder.unconfirmedReports = 0;
  return { instanceId, grantId, slots: new Map(holder.granted) };
}

/** Max-min fair shares of the total; a surplus over demand is split evenly. */
export function fairShares(
  total: number,
  demands: readonly number[],
): number[] {
  const shares = demands.map(() => 0);
  let remaining = total;
  const order = demands.map((_, index) => index)
    .sort((a, b) => (demands[a] ?? 0) - (demands[b] ?? 0));
  order.forEach((index, position) => {
    const fair = remaining / (order.length - position);
    const share = Math.min(demands[index] ?? 0, Math.floor(fair));
    shares[index] = Math.floor(share);
    remaining -= shares[index] ?? 0;
  });
  const each = Math.floor(remaining / Math.max(1, shares.length));
  const remainder = remaining - each * shares.length;
  return shares.map((share, index) =>
    share + each + (index < remainder ? 1 : 0)
  );
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
