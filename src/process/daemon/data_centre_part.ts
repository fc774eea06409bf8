/**
 * What an instance does within its data centre: its member of the data
 * centre's group, and request routing on top of it.
 *
 * @module
 */

import type { Result, Storage } from "../../base/mod.ts";
import type { ConfigurationSource } from "../configuration/configuration_source.ts";
import {
  type PartCommand,
  PartLog,
  SharedMachine,
} from "../data_centre/mod.ts";
import type { HttpEndpoint } from "../http/mod.ts";
import {
  type LedgerCommand,
  type LedgerReply,
  LedgerState,
} from "../ledger/mod.ts";
import {
  type GroupMember,
  ReplicationMember,
  type StateMachine,
} from "../replication/mod.ts";
import { RequestRouting } from "../routing/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { DaemonBase } from "./daemon_base.ts";

/** The parts that share the data centre's log. */
const PartName = {
  requests: "requests",
} as const;

/** An instance's share in its data centre. */
export class DataCentrePart {
  readonly member: ReplicationMember<PartCommand, unknown>;
  readonly routing: RequestRouting;

  private constructor(options: {
    member: ReplicationMember<PartCommand, unknown>;
    routing: RequestRouting;
  }) {
    this.member = options.member;
    this.routing = options.routing;
  }

  /** Reads what the disk holds and joins the data centre's group. */
  static async open(
    base: DaemonBase,
    options: {
      storage: Storage | undefined;
      configuration: ConfigurationSource;
    },
  ): Promise<Result<DataCentrePart>> {
    const { settings } = base;
    const ledgerState = new LedgerState({});
    const machine = new SharedMachine({
      parts: {
        [PartName.requests]: ledgerState as StateMachine<unknown, unknown>,
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
    return opened.map((member) => {
      const routing = new RequestRouting({
        self: settings.instance,
        peers: settings.peers,
        incarnation: base.incarnation,
        clock: base.clock,
        random: base.random,
        network: base.network,
        configuration: options.configuration,
        ledgerLog: new PartLog<LedgerCommand, LedgerReply>({
          part: PartName.requests,
          log: member,
        }),
        ledgerState,
        metrics: base.metrics,
        eventLog: base.timeline,
      });
      return new DataCentrePart({ member, routing });
    });
  }

  endpoints(): HttpEndpoint[] {
    return this.routing.endpoints;
  }

  /** Returns once everything that was begun has ended, or at the deadline. */
  async drain(options: { deadlineMs: number }): Promise<void> {
    await this.routing.drain(options);
  }

  async close(): Promise<void> {
    await this.routing.close();
    await this.member.handOver();
    await this.member.close();
  }
}

/** The name of a data centre's group. */
export function dataCentreGroup(dataCentre: string): string {
  return `data-centre.${dataCentre}`;
}

function listMembers(settings: Settings): GroupMember[] {
  const { dataCentre } = settings.instance;
  return [settings.instance, ...settings.peers]
    .filter((instance) => instance.dataCentre === dataCentre)
    .map(({ id, hasDisk }) => ({ id, isVoter: true, isDurable: hasDisk }));
}
