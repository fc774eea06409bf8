/**
 * The work of an instance within its data centre: its member of the data
 * centre's group, with request routing and job scheduling on top of it.
 *
 * @module
 */

import type { Result, Storage } from "../../base/mod.ts";
import type { ConfigurationService } from "../configuration/configuration_service.ts";
import {
  type ComponentCommand,
  ComponentLog,
  SharedMachine,
} from "../data_centre/mod.ts";
import type { HttpEndpoint } from "../http/mod.ts";
import { jobEndpoints, workerEndpoints } from "../jobs/mod.ts";
import {
  type LedgerCommand,
  type LedgerReply,
  LedgerState,
} from "../ledger/mod.ts";
import {
  type GroupMember,
  registerDiskMetrics,
  ReplicationMember,
  type StateMachine,
} from "../replication/mod.ts";
import { RequestRouting } from "../routing/mod.ts";
import { LeaderCore } from "../scheduler/leader_core.ts";
import { RemovalAcknowledger } from "../scheduler/removal_acknowledger.ts";
import {
  HttpWorkerClient,
  type JobCommand,
  type JobCommandOutcome,
  JobLedger,
  SchedulerRuntime,
} from "../scheduler/runtime/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { DaemonBase } from "./daemon_base.ts";

/** The names of the state machines that share the data centre's log. */
const ComponentName = {
  jobs: "jobs",
  requests: "requests",
} as const;

/** What routing and scheduling depend on. */
interface DataCentreDependencies {
  readonly member: ReplicationMember<ComponentCommand, unknown>;
  readonly requests: LedgerState;
  readonly jobs: JobLedger;
  readonly configuration: ConfigurationService;
}

/** Runs the data centre group's member, routing and scheduling. */
export class DataCentreSubsystem {
  readonly member: ReplicationMember<ComponentCommand, unknown>;
  readonly routing: RequestRouting;
  readonly scheduler: SchedulerRuntime;
  #workerClient = new HttpWorkerClient();
  #acknowledger: RemovalAcknowledger;

  private constructor(base: DaemonBase, options: DataCentreDependencies) {
    this.member = options.member;
    this.routing = createRouting(base, options);
    this.scheduler = createScheduler(base, {
      ...options,
      client: this.#workerClient,
    });
    this.#acknowledger = createAcknowledger(base, {
      ...options,
      scheduler: this.scheduler,
    });
  }

  /** Restores the member's state from storage and joins the group. */
  static async open(
    base: DaemonBase,
    options: {
      storage: Storage | undefined;
      configuration: ConfigurationService;
    },
  ): Promise<Result<DataCentreSubsystem>> {
    const { settings } = base;
    const requests = new LedgerState({});
    const jobs = new JobLedger({});
    const machine = new SharedMachine({
      parts: {
        [ComponentName.jobs]: jobs as StateMachine<unknown, unknown>,
        [ComponentName.requests]: requests as StateMachine<unknown, unknown>,
      },
    });
    const opened = await ReplicationMember.open({
      groupId: dataCentreGroup(settings.instance.dataCentre),
      members: listMembers(settings),
      network: base.network,
      clock: base.clock,
      random: base.random,
      machine,
      storage: options.storage,
      events: base.timeline,
    });
    const { configuration } = options;
    return opened.map((member) => {
      registerDiskMetrics(base.metrics, member);
      return new DataCentreSubsystem(base, {
        member,
        requests,
        jobs,
        configuration,
      });
    });
  }

  endpoints(): HttpEndpoint[] {
    const { routing, scheduler } = this;
    return [
      ...routing.endpoints,
      ...jobEndpoints({ scheduler }),
      ...workerEndpoints({ scheduler }),
    ];
  }

  /** Waits until all requests have ended, or until the deadline. */
  async drain(options: { deadlineMs: number }): Promise<void> {
    await this.routing.drain(options);
  }

  async close(): Promise<void> {
    await this.routing.close();
    await this.member.handOver();
    this.#acknowledger.close();
    await this.scheduler.close();
    await this.#workerClient.close();
    await this.member.close();
  }
}

function createRouting(
  base: DaemonBase,
  dependencies: DataCentreDependencies,
): RequestRouting {
  return new RequestRouting({
    self: base.settings.instance,
    peers: base.settings.peers,
    incarnation: base.incarnation,
    clock: base.clock,
    random: base.random,
    network: base.network,
    configuration: dependencies.configuration,
    ledgerLog: new ComponentLog<LedgerCommand, LedgerReply>({
      part: ComponentName.requests,
      log: dependencies.member,
    }),
    ledgerState: dependencies.requests,
    metrics: base.metrics,
    eventLog: base.timeline,
    usableInstances: () =>
      base.membership.usableInstanceIds(base.settings.instance.dataCentre),
  });
}

function createScheduler(
  base: DaemonBase,
  dependencies: DataCentreDependencies & { client: HttpWorkerClient },
): SchedulerRuntime {
  const { instance, peers } = base.settings;
  const { dataCentre } = instance;
  return new SchedulerRuntime({
    clock: base.clock,
    dataCentre,
    instances: [instance, ...peers],
    network: base.network,
    log: new ComponentLog<JobCommand, JobCommandOutcome>({
      part: ComponentName.jobs,
      log: dependencies.member,
    }),
    ledger: dependencies.jobs,
    configuration: dependencies.configuration,
    client: dependencies.client,
    createCore: () => new LeaderCore({ dataCentre }),
    events: base.timeline,
  });
}

function createAcknowledger(
  base: DaemonBase,
  dependencies: DataCentreDependencies & { scheduler: SchedulerRuntime },
): RemovalAcknowledger {
  const { configuration, member, scheduler } = dependencies;
  const { dataCentre } = base.settings.instance;
  return new RemovalAcknowledger({
    clock: base.clock,
    dataCentre,
    configuration,
    hasSettled: () => scheduler.hasSettled,
    isLeaseHeld: () => member.status().leaseEndMs > base.clock.nowMs(),
    acknowledge: (version) =>
      configuration.acknowledgeRemoval(dataCentre, version),
  });
}

/** The ID of a data centre's replication group. */
export function dataCentreGroup(dataCentre: string): string {
  return `data-centre.${dataCentre}`;
}

function listMembers(settings: Settings): GroupMember[] {
  const { dataCentre } = settings.instance;
  return [settings.instance, ...settings.peers]
    .filter((instance) => instance.dataCentre === dataCentre)
    .map(({ id, hasDisk }) => ({ id, isVoter: true, isDurable: hasDisk }));
}
