/**
 * The real subsystems of one instance, composed as in the daemon, over fakes.
 *
 * @module
 */

import type { Clock } from "../../src/base/clock.ts";
import type { EventLog } from "../../src/base/event_log.ts";
import type { RandomSource } from "../../src/base/random_source.ts";
import type { PeerNetwork } from "../../src/connection/peer_network.ts";
import {
  matchesFixture,
} from "../../src/process/configuration/configuration_fixture.ts";
import { ConfigurationMachine } from "../../src/process/configuration/configuration_machine.ts";
import type { ConfigurationSource } from "../../src/process/configuration/configuration_source.ts";
import { ConfigurationService } from "../../src/process/configuration/configuration_service.ts";
import { KeyVerifier } from "../../src/process/configuration/key_verifier.ts";
import { CONFIGURATION_GROUP } from "../../src/process/daemon/configuration_subsystem.ts";
import { dataCentreGroup } from "../../src/process/daemon/data_centre_subsystem.ts";
import {
  type ComponentCommand,
  ComponentLog,
  SharedMachine,
} from "../../src/process/data_centre/mod.ts";
import { MetricsRegistry } from "../../src/process/http/mod.ts";
import {
  type LedgerCommand,
  type LedgerReply,
  LedgerState,
} from "../../src/process/ledger/mod.ts";
import {
  ReplicationMember,
  type StateMachine,
} from "../../src/process/replication/mod.ts";
import type { BackendClient } from "../../src/process/routing/backend_client.ts";
import { RequestRouting } from "../../src/process/routing/mod.ts";
import { LeaderCore } from "../../src/process/scheduler/leader_core.ts";
import { RemovalAcknowledger } from "../../src/process/scheduler/removal_acknowledger.ts";
import {
  type JobCommand,
  type JobCommandOutcome,
  JobLedger,
  SchedulerRuntime,
} from "../../src/process/scheduler/runtime/mod.ts";
import type { WorkerClient } from "../../src/process/scheduler/runtime/worker_client.ts";
import type { FakeStorage } from "../../src/process/storage/fake_storage.ts";
import { SYSTEM_INSTANCES, type SystemInstanceId } from "./system_document.ts";
import type { SystemMutation } from "./system_mutation.ts";

/** Options of {@link SystemNode}. */
export interface SystemNodeOptions {
  readonly id: SystemInstanceId;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly network: PeerNetwork;
  readonly storage: FakeStorage;
  readonly events: EventLog;
  readonly workers: WorkerClient;
  readonly servers: Pick<BackendClient, "send" | "close">;
  readonly mutation: SystemMutation;
}

type ConfigurationMember = Awaited<ReturnType<typeof openConfiguration>>;
type DataCentreMember = ReplicationMember<ComponentCommand, unknown>;

/** One running instance. */
export class SystemNode {
  readonly configurationMember: ConfigurationMember["member"];
  readonly configuration: ConfigurationService;
  readonly member: DataCentreMember;
  readonly requests: LedgerState;
  readonly routing: RequestRouting;
  readonly scheduler: SchedulerRuntime;
  readonly #acknowledger: RemovalAcknowledger;

  private constructor(
    options: SystemNodeOptions,
    opened: {
      configuration: ConfigurationMember;
      member: DataCentreMember;
      requests: LedgerState;
      jobs: JobLedger;
    },
  ) {
    const { machine, member } = opened.configuration;
    this.configurationMember = member;
    this.configuration = new ConfigurationService({
      ...options,
      machine,
      log: member,
      instances: SYSTEM_INSTANCES,
      keys: new KeyVerifier({ clock: options.clock, matches: matchesFixture }),
    });
    this.member = opened.member;
    this.requests = opened.requests;
    this.routing = createRouting(options, this);
    this.scheduler = createScheduler(options, {
      node: this,
      jobs: opened.jobs,
    });
    this.#acknowledger = createAcknowledger(options, this);
  }

  /** Reads the state on the disk and joins both groups. */
  static async open(options: SystemNodeOptions): Promise<SystemNode> {
    const configuration = await openConfiguration(options);
    const requests = new LedgerState({});
    const jobs = new JobLedger({});
    const dataCentre = locationOf(options.id).dataCentre;
    const member = await ReplicationMember.open<ComponentCommand, unknown>({
      ...options,
      groupId: dataCentreGroup(dataCentre),
      members: listMembers(dataCentre),
      machine: new SharedMachine({
        parts: {
          jobs: jobs as StateMachine<unknown, unknown>,
          requests: requests as StateMachine<unknown, unknown>,
        },
      }),
    });
    return new SystemNode(options, {
      configuration,
      member: member.unsafeCoerce(),
      requests,
      jobs,
    });
  }

  /** Waits for requests until the deadline, hands over leadership, and ends. */
  async stop(deadlineMs: number): Promise<void> {
    await this.routing.drain({ deadlineMs });
    await this.routing.close();
    await this.member.handOver();
    await this.configurationMember.handOver();
    this.crash();
  }

  /** Ends the process immediately. */
  crash(): void {
    void this.routing.close();
    this.#acknowledger.close();
    void this.scheduler.close();
    void this.member.close();
    this.configuration.close();
    void this.configurationMember.close();
  }
}

function locationOf(id: SystemInstanceId) {
  const location = SYSTEM_INSTANCES.find((instance) => instance.id === id);
  if (location === undefined) {
    throw new Error(`no such instance: ${id}`);
  }
  return location;
}

function listMembers(dataCentre?: string) {
  return SYSTEM_INSTANCES
    .filter((each) =>
      dataCentre === undefined || each.dataCentre === dataCentre
    )
    .map(({ id }) => ({ id, isVoter: true, isDurable: true }));
}

async function openConfiguration(options: SystemNodeOptions) {
  const machine = new ConfigurationMachine({});
  const member = await ReplicationMember.open({
    ...options,
    groupId: CONFIGURATION_GROUP,
    members: listMembers(),
    machine,
  });
  return { machine, member: member.unsafeCoerce() };
}

function createRouting(
  options: SystemNodeOptions,
  node: SystemNode,
): RequestRouting {
  return new RequestRouting({
    ...options,
    self: locationOf(options.id),
    peers: SYSTEM_INSTANCES.filter(({ id }) => id !== options.id),
    configuration: node.configuration,
    ledgerLog: new ComponentLog<LedgerCommand, LedgerReply>({
      part: "requests",
      log: node.member,
    }),
    ledgerState: node.requests,
    metrics: new MetricsRegistry(),
    eventLog: options.events,
    client: options.servers,
  });
}

function createScheduler(
  options: SystemNodeOptions,
  { node, jobs }: { node: SystemNode; jobs: JobLedger },
): SchedulerRuntime {
  const { dataCentre } = locationOf(options.id);
  return new SchedulerRuntime({
    ...options,
    dataCentre,
    instances: SYSTEM_INSTANCES,
    log: new ComponentLog<JobCommand, JobCommandOutcome>({
      part: "jobs",
      log: node.member,
    }),
    ledger: jobs,
    configuration: options.mutation.treatsCopiesAsCurrent
      ? treatAsCurrent(node.configuration, options.clock)
      : node.configuration,
    omittedChecks: options.mutation.omittedChecks ?? [],
    client: options.workers,
    createCore: () => new LeaderCore({ dataCentre }),
  });
}

function treatAsCurrent(
  configuration: ConfigurationService,
  clock: Clock,
): ConfigurationSource {
  return {
    current: () => configuration.current(),
    versions: configuration.versions,
    currentAtMs: () => clock.nowMs(),
  };
}

function createAcknowledger(
  { clock, id }: SystemNodeOptions,
  node: SystemNode,
): RemovalAcknowledger {
  const { configuration, member, scheduler } = node;
  const { dataCentre } = locationOf(id);
  return new RemovalAcknowledger({
    clock,
    dataCentre,
    configuration,
    hasSettled: () => scheduler.hasSettled,
    isLeaseHeld: () => member.status().leaseEndMs > clock.nowMs(),
    acknowledge: (version) =>
      configuration.acknowledgeRemoval(dataCentre, version),
  });
}
