/**
 * A simulated cluster for tests and benchmarks: instances with their real
 * replicated log and configuration, on a fake clock, fake links and disks.
 *
 * @module
 * @internal
 */

import { setImmediate } from "node:timers/promises";
import { SILENT_EVENT_LOG } from "../../base/event_log.ts";
import { FakeClock } from "../../base/fake_clock.ts";
import type { InstanceId } from "../../base/identity.ts";
import { SeededRandom } from "../../base/random_source.ts";
import { FakePeerHub } from "../replication/fake_peer_network.ts";
import { ReplicationMember } from "../replication/replication_member.ts";
import type { ReplicationTiming } from "../replication/replication_timing.ts";
import { FakeStorage } from "../storage/fake_storage.ts";
import type {
  ConfigurationCommand,
  ConfigurationOutcome,
} from "./configuration_command.ts";
import {
  ConfigurationMachine,
  type ConfigurationMachineOptions,
} from "./configuration_machine.ts";
import { ConfigurationService } from "./configuration_service.ts";
import { KeyVerifier, type KeyVerifierOptions } from "./key_verifier.ts";

/** One instance of the cluster. */
export interface VirtualInstance {
  readonly id: InstanceId;
  readonly dataCentre: string;
  readonly region: string;
  readonly hasDisk: boolean;
}

/** The components that run on one instance. */
export interface VirtualNode {
  readonly member: ReplicationMember<
    ConfigurationCommand,
    ConfigurationOutcome
  >;
  readonly machine: ConfigurationMachine;
  readonly service: ConfigurationService;
}

/** How to build a {@link VirtualCluster}. */
export interface VirtualClusterOptions {
  readonly instances: readonly VirtualInstance[];
  readonly seed?: number;
  readonly machine?: ConfigurationMachineOptions;
  readonly timing?: Partial<ReplicationTiming>;
  /** Whether a key matches a key hash. */
  readonly matches?: KeyVerifierOptions["matches"];
}

/** One-way delays within a data centre, within a region, and beyond. */
const DELAYS_MS = { dataCentre: 0.1, region: 0.5, remote: 20 };

/** Step by which the fake clock advances. */
const STEP_MS = 5;

/** The cluster; crashed instances keep their disks. */
export class VirtualCluster {
  readonly clock = new FakeClock({ startMs: 1_000_000 });
  readonly hub: FakePeerHub;
  readonly nodes = new Map<InstanceId, VirtualNode>();
  readonly instances: readonly VirtualInstance[];
  /** Called for every message that is sent. */
  onSend:
    | ((from: InstanceId, to: InstanceId, body: unknown) => void)
    | undefined;
  readonly #options: VirtualClusterOptions;
  readonly #random: SeededRandom;
  readonly #disks = new Map<InstanceId, FakeStorage>();

  constructor(options: VirtualClusterOptions) {
    this.#options = options;
    this.instances = options.instances;
    this.#random = new SeededRandom({ seed: options.seed ?? 1 });
    this.hub = new FakePeerHub({
      clock: this.clock,
      random: this.#random,
      delayMs: (from, to) => this.#delayMs(from, to),
      onSend: (from, to, body) => this.onSend?.(from, to, body),
    });
  }

  /** Starts an instance with the state on its disk, if it has one. */
  async start(id: InstanceId): Promise<void> {
    const { clock, instances } = this;
    const self = this.#instance(id);
    const machine = new ConfigurationMachine(this.#options.machine ?? {});
    const network = this.hub.join(id, {
      peerIds: instances.map((instance) => instance.id),
    });
    const opened = await ReplicationMember.open({
      groupId: "configuration",
      members: instances.map(({ id, hasDisk }) => ({
        id,
        isVoter: hasDisk,
        isDurable: hasDisk,
      })),
      network,
      clock,
      random: this.#random,
      machine,
      storage: self.hasDisk ? this.#disk(id) : undefined,
      ...(this.#options.timing === undefined
        ? {}
        : { timing: this.#options.timing }),
    });
    const member = opened.unsafeCoerce();
    const { matches } = this.#options;
    const keys = matches === undefined
      ? new KeyVerifier({ clock })
      : new KeyVerifier({ clock, matches });
    const service = new ConfigurationService({
      machine,
      log: member,
      network,
      clock,
      events: SILENT_EVENT_LOG,
      instances,
      keys,
    });
    this.nodes.set(id, { member, machine, service });
  }

  async startAll(): Promise<void> {
    for (const { id } of this.instances) {
      await this.start(id);
    }
  }

  /** Kills an instance; writes that were not synced to disk may be torn. */
  async crash(id: InstanceId): Promise<void> {
    const node = this.nodes.get(id);
    node?.service.close();
    await node?.member.close();
    this.nodes.delete(id);
    this.#disks.get(id)?.crash(this.#random);
  }

  node(id: InstanceId): VirtualNode | undefined {
    return this.nodes.get(id);
  }

  /** Advances time in steps and runs pending asynchronous work after each. */
  async run(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.clock.advance(Math.min(STEP_MS, durationMs - elapsedMs));
      await setImmediate();
    }
  }

  /** Advances time until the work is done. */
  async finish<T>(work: Promise<T>): Promise<T> {
    let isDone = false;
    void work.then(() => {
      isDone = true;
    });
    while (!isDone) {
      await this.run(STEP_MS);
    }
    return await work;
  }

  async close(): Promise<void> {
    for (const { service, member } of this.nodes.values()) {
      service.close();
      await member.close();
    }
  }

  #instance(id: InstanceId): VirtualInstance {
    const found = this.instances.find((instance) => instance.id === id);
    if (found === undefined) {
      throw new Error(`no such instance: ${id}`);
    }
    return found;
  }

  #disk(id: InstanceId): FakeStorage {
    const disk = this.#disks.get(id) ?? new FakeStorage();
    this.#disks.set(id, disk);
    return disk;
  }

  #delayMs(from: InstanceId, to: InstanceId): number {
    const [source, target] = [this.#instance(from), this.#instance(to)];
    if (source.dataCentre === target.dataCentre) {
      return DELAYS_MS.dataCentre;
    }
    return source.region === target.region
      ? DELAYS_MS.region
      : DELAYS_MS.remote;
  }
}
