/**
 * The load balancing policies that the sweeps compare.
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

/** How the slots are divided among the instances. */
export const SweepPolicy = {
  /** Each instance uses the servers in turn, with no limit and no queue. */
  roundRobin: "roundRobin",
  /** Each instance uses all slots as if it were the only one. */
  unshared: "unshared",
  /** Each instance probes the servers' free slots every 5 ms. */
  probed: "probed",
  /** Each instance has a fixed share of the slots. */
  fixed: "fixed",
  /** An allocator divides the slots by demand. */
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

/** An instance that receives requests of a sweep. */
export interface SweepInstance {
  submit(request: SweepRequest): void;
}

/** What all instances of a sweep share. */
export interface SweepEnvironment {
  readonly queue: EventQueue;
  readonly servers: readonly ModelServer[];
  readonly seed: number;
}

const SERVICE_ID = "sweep";
const TICK_MS = 10;
const ANNOUNCE_PERIOD_MS = 900;
const PROBE_PERIOD_MS = 5;
const ALLOCATION_PERIOD_MS = 100;

/** Creates the instances of one policy. */
export function createInstances(
  policy: SweepPolicy,
  environment: SweepEnvironment,
): SweepInstance[] {
  const indexes = Array.from({ length: SIZES.instances }, (_, at) => at);
  if (policy === SweepPolicy.roundRobin) {
    return indexes.map((at) => new RoundRobinInstance(at, environment));
  }
  const instances = indexes.map((at) => new CoreInstance(at, environment));
  switch (policy) {
    case SweepPolicy.unshared:
      break;
    case SweepPolicy.probed:
      instances.forEach((instance) => instance.startProbing());
      break;
    case SweepPolicy.fixed:
      instances.forEach((instance, at) =>
        instance.setSlots(fixedSlots(at, environment))
      );
      break;
    case SweepPolicy.allotted:
      runAllocator(instances, environment);
      break;
  }
  return instances;
}

class RoundRobinInstance implements SweepInstance {
  readonly #environment: SweepEnvironment;
  #next: number;

  constructor(at: number, environment: SweepEnvironment) {
    this.#environment = environment;
    this.#next = at * 7;
  }

  submit(request: SweepRequest): void {
    const { servers, queue } = this.#environment;
    const server = servers[this.#next++ % servers.length];
    queue.after(SIZES.hopMs, () =>
      server?.run(() => {
        queue.after(SIZES.hopMs, () => request.finish(true));
      }));
  }
}

/** An instance that runs the real routing core. */
class CoreInstance implements SweepInstance {
  readonly instanceId: string;
  readonly #environment: SweepEnvironment;
  readonly #core: RoutingCore;
  readonly #servers: ReadonlyMap<string, ModelServer>;
  readonly #requests = new Map<string, SweepRequest>();
  grantId = 0;
  granted: ReadonlyMap<string, number> = new Map();

  constructor(at: number, environment: SweepEnvironment) {
    this.instanceId = `i${at}`;
    this.#environment = environment;
    this.#core = new RoutingCore({
      dataCentre: "dc",
      random: new SeededRandom({ seed: environment.seed + at }),
    });
    this.#servers = new Map(
      environment.servers.map((server) => [server.serverId, server]),
    );
    this.#core.handle({
      kind: "configurationChanged",
      atMs: 0,
      services: { [SERVICE_ID]: SWEEP_SERVICE },
    });
    this.#every(ANNOUNCE_PERIOD_MS, () => this.#announce());
    this.#announce();
    this.#every(TICK_MS, () => {
      this.#applyDecisions(
        this.#core.handle({ kind: "tick", atMs: this.#nowMs }),
      );
    });
  }

  get demand(): number {
    return this.#core.totalOpenCalls;
  }

  submit(request: SweepRequest): void {
    this.#requests.set(request.key, request);
    const { loadClass, key } = request;
    this.#applyDecisions(this.#core.handle({
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

  setSlots(slots: ReadonlyMap<string, number>): void {
    this.granted = slots;
    const kind = "slotsAllotted";
    const service = SERVICE_ID;
    const atMs = this.#nowMs;
    this.#applyDecisions(this.#core.handle({ kind, atMs, service, slots }));
  }

  /** Reads each server's free slots periodically, and uses them a hop later. */
  startProbing(): void {
    this.#every(PROBE_PERIOD_MS, () => {
      const slots = new Map(this.#environment.servers.map((server) => {
        const free = Math.max(0, SIZES.slots - server.load);
        return [server.serverId, this.inFlight(server.serverId) + free];
      }));
      this.#environment.queue.after(SIZES.hopMs, () => this.setSlots(slots));
    });
  }

  inFlight(serverId: string): number {
    const service = this.#core.services.get(SERVICE_ID);
    return service?.servers.find(serverId)?.attempts.size ?? 0;
  }

  get #nowMs(): number {
    return this.#environment.queue.nowMs;
  }

  #every(periodMs: number, action: () => void): void {
    this.#environment.queue.after(periodMs, () => {
      action();
      this.#every(periodMs, action);
    });
  }

  #announce(): void {
    for (const { serverId } of this.#environment.servers) {
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
      this.#applyDecisions(this.#core.handle({ kind, atMs, announcement }));
    }
  }

  #applyDecisions(decisions: readonly RoutingDecision[]): void {
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
    const { queue } = this.#environment;
    const { attemptId, serverId } = decision;
    queue.after(SIZES.hopMs, () =>
      this.#servers.get(serverId)?.run(() => {
        queue.after(SIZES.hopMs, () => {
          this.#applyDecisions(this.#core.handle({
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

/** Every eighth slot; each instance starts at a different one. */
function fixedSlots(
  at: number,
  environment: SweepEnvironment,
): Map<string, number> {
  const slots = new Map<string, number>();
  let slotIndex = 0;
  for (const { serverId } of environment.servers) {
    for (let slot = 0; slot < SIZES.slots; slot += 1) {
      if (slotIndex % SIZES.instances === at) {
        slots.set(serverId, (slots.get(serverId) ?? 0) + 1);
      }
      slotIndex += 1;
    }
  }
  return slots;
}

/** Runs the real slot allocator for the instances, with message delays. */
function runAllocator(
  instances: readonly CoreInstance[],
  environment: SweepEnvironment,
): void {
  const allocator = new SlotAllocator({ lastGrantId: 0 });
  const capacity = new Map(
    environment.servers.map(({ serverId }) => [serverId, SIZES.slots]),
  );
  const byId = new Map(instances.map((one) => [one.instanceId, one]));
  const runRound = (): void => {
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
      environment.queue.after(SIZES.hopMs, () => {
        if (instance !== undefined) {
          instance.grantId = grant.grantId;
          instance.setSlots(grant.slots);
        }
      });
    }
    environment.queue.after(ALLOCATION_PERIOD_MS, runRound);
  };
  runRound();
}
