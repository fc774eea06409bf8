/**
 * The ways of balancing that the sweeps compare.
 *
 * @module
 */

import { SeededRandom } from "../../src/base/mod.ts";
import {
  RoutingCore,
  type RoutingDecision,
} from "../../src/process/routing/core/mod.ts";
import { SlotAllocator } from "../../src/process/routing/core/slot_allocator.ts";
import type { EventQueue } from "./event_queue.ts";
import {
  type LoadClass,
  type ModelServer,
  SIZES,
  SWEEP_SERVICE,
} from "./load_model.ts";

/** How slots are shared among the instances. */
export const SweepPolicy = {
  /** Each instance takes the servers in turn, with no limit and no queue. */
  roundRobin: "roundRobin",
  /** Each instance reckons with all slots as if it were alone. */
  unshared: "unshared",
  /** Each instance probes the servers' slot use every few milliseconds. */
  probed: "probed",
  /** Each instance has a fixed part of the slots. */
  fixed: "fixed",
  /** An allocator shares the slots out by demand. */
  allotted: "allotted",
} as const;

/** One of the values of {@link SweepPolicy}. */
export type SweepPolicy = typeof SweepPolicy[keyof typeof SweepPolicy];

/** One request of a sweep. */
export interface SweepRequest {
  readonly key: string;
  readonly loadClass: LoadClass;
  readonly arrivedAtMs: number;
  readonly finish: (isAnswered: boolean) => void;
}

/** One entry instance of a sweep. */
export interface SweepInstance {
  take(request: SweepRequest): void;
}

/** What all instances of a sweep share. */
export interface SweepWorld {
  readonly queue: EventQueue;
  readonly servers: readonly ModelServer[];
  readonly seed: number;
}

const SERVICE_ID = "sweep";
const TICK_MS = 10;
const ANNOUNCE_MS = 900;
const PROBE_MS = 5;
const SHARING_MS = 100;

/** The instances of one policy. */
export function createInstances(
  policy: SweepPolicy,
  world: SweepWorld,
): SweepInstance[] {
  const places = Array.from({ length: SIZES.instances }, (_, at) => at);
  if (policy === SweepPolicy.roundRobin) {
    return places.map((at) => new RoundRobinInstance(at, world));
  }
  const instances = places.map((at) => new CoreInstance(at, world));
  switch (policy) {
    case SweepPolicy.unshared:
      break;
    case SweepPolicy.probed:
      instances.forEach((instance) => instance.probe());
      break;
    case SweepPolicy.fixed:
      instances.forEach((instance, at) =>
        instance.allot(fixedSlots(at, world))
      );
      break;
    case SweepPolicy.allotted:
      share(instances, world);
      break;
  }
  return instances;
}

class RoundRobinInstance implements SweepInstance {
  readonly #world: SweepWorld;
  #next: number;

  constructor(at: number, world: SweepWorld) {
    this.#world = world;
    this.#next = at * 7;
  }

  take(request: SweepRequest): void {
    const { servers, queue } = this.#world;
    const server = servers[this.#next++ % servers.length];
    queue.after(SIZES.hopMs, () =>
      server?.run(() => {
        queue.after(SIZES.hopMs, () => request.finish(true));
      }));
  }
}

/** An instance that runs the product's routing core. */
class CoreInstance implements SweepInstance {
  readonly instanceId: string;
  readonly #world: SweepWorld;
  readonly #core: RoutingCore;
  readonly #servers: ReadonlyMap<string, ModelServer>;
  readonly #requests = new Map<string, SweepRequest>();
  grantId = 0;
  granted: ReadonlyMap<string, number> = new Map();

  constructor(at: number, world: SweepWorld) {
    this.instanceId = `i${at}`;
    this.#world = world;
    this.#core = new RoutingCore({
      dataCentre: "dc",
      random: new SeededRandom({ seed: world.seed + at }),
    });
    this.#servers = new Map(
      world.servers.map((server) => [server.serverId, server]),
    );
    this.#core.handle({
      kind: "configurationChanged",
      atMs: 0,
      services: { [SERVICE_ID]: SWEEP_SERVICE },
    });
    this.#every(ANNOUNCE_MS, () => this.#announce());
    this.#announce();
    this.#every(TICK_MS, () => {
      this.#carryOut(this.#core.handle({ kind: "tick", atMs: this.#nowMs }));
    });
  }

  get demand(): number {
    return this.#core.totalOpenCalls;
  }

  take(request: SweepRequest): void {
    this.#requests.set(request.key, request);
    const { loadClass, key } = request;
    this.#carryOut(this.#core.handle({
      kind: "callArrived",
      atMs: this.#nowMs,
      call: {
        key,
        service: SERVICE_ID,
        requestClass: loadClass.name,
        isIdempotent: true,
        deadlineMs: request.arrivedAtMs + loadClass.timeoutMs,
        bodyBytes: 500,
        isForwarded: false,
      },
    }));
  }

  allot(slots: ReadonlyMap<string, number>): void {
    this.granted = slots;
    const kind = "slotsAllotted";
    const service = SERVICE_ID;
    const atMs = this.#nowMs;
    this.#carryOut(this.#core.handle({ kind, atMs, service, slots }));
  }

  /** Reads every server's slot use now and again, a hop late. */
  probe(): void {
    this.#every(PROBE_MS, () => {
      const slots = new Map(this.#world.servers.map((server) => {
        const free = Math.max(0, SIZES.slots - server.load);
        return [server.serverId, this.inFlight(server.serverId) + free];
      }));
      this.#world.queue.after(SIZES.hopMs, () => this.allot(slots));
    });
  }

  inFlight(serverId: string): number {
    const service = this.#core.services.get(SERVICE_ID);
    return service?.servers.find(serverId)?.attempts.size ?? 0;
  }

  get #nowMs(): number {
    return this.#world.queue.nowMs;
  }

  #every(periodMs: number, action: () => void): void {
    this.#world.queue.after(periodMs, () => {
      action();
      this.#every(periodMs, action);
    });
  }

  #announce(): void {
    for (const { serverId } of this.#world.servers) {
      const announcement = {
        serverId,
        service: SERVICE_ID,
        address: "127.0.0.1:1",
        slots: SIZES.slots,
        dataCentre: "dc",
        incarnation: 1,
        leaving: false,
      };
      const kind = "serverAnnounced";
      const atMs = this.#nowMs;
      this.#carryOut(this.#core.handle({ kind, atMs, announcement }));
    }
  }

  #carryOut(decisions: readonly RoutingDecision[]): void {
    for (const decision of decisions) {
      switch (decision.kind) {
        case "sendAttempt":
          this.#send(decision);
          break;
        case "endWithAnswer":
          this.#finish(decision.key, true);
          break;
        case "endWithError":
          this.#finish(decision.key, false);
          break;
        default:
          break;
      }
    }
  }

  #send(decision: Extract<RoutingDecision, { kind: "sendAttempt" }>): void {
    const { queue } = this.#world;
    const { attemptId, serverId } = decision;
    queue.after(SIZES.hopMs, () =>
      this.#servers.get(serverId)?.run(() => {
        queue.after(SIZES.hopMs, () => {
          this.#carryOut(this.#core.handle({
            kind: "attemptEnded",
            atMs: this.#nowMs,
            attemptId,
            result: "answered",
          }));
        });
      }));
  }

  #finish(key: string, isAnswered: boolean): void {
    this.#requests.get(key)?.finish(isAnswered);
    this.#requests.delete(key);
  }
}

/** Every eighth slot, each instance starting at another. */
function fixedSlots(at: number, world: SweepWorld): Map<string, number> {
  const slots = new Map<string, number>();
  let place = 0;
  for (const { serverId } of world.servers) {
    for (let slot = 0; slot < SIZES.slots; slot += 1) {
      if (place % SIZES.instances === at) {
        slots.set(serverId, (slots.get(serverId) ?? 0) + 1);
      }
      place += 1;
    }
  }
  return slots;
}

/** Runs the product's allocator over the instances, with message delays. */
function share(instances: readonly CoreInstance[], world: SweepWorld): void {
  const allocator = new SlotAllocator({ firstGrantId: 0 });
  const capacity = new Map(
    world.servers.map(({ serverId }) => [serverId, SIZES.slots]),
  );
  const byId = new Map(instances.map((one) => [one.instanceId, one]));
  const round = (): void => {
    for (const { instanceId, demand, grantId, granted } of instances) {
      const inUse = [...capacity.keys()].map((serverId) =>
        [serverId, byId.get(instanceId)?.inFlight(serverId) ?? 0] as const
      );
      const holds = new Map(
        grantId === 0
          ? granted
          : inUse.filter(([id, used]) => used > (granted.get(id) ?? 0)),
      );
      allocator.report({ instanceId, demand, grantId, holds });
    }
    for (const grant of allocator.allocate(capacity)) {
      const instance = byId.get(grant.instanceId);
      world.queue.after(SIZES.hopMs, () => {
        if (instance !== undefined) {
          instance.grantId = grant.grantId;
          instance.allot(grant.slots);
        }
      });
    }
    world.queue.after(SHARING_MS, round);
  };
  round();
}
