/**
 * Request routing as a whole, for the daemon: sets up its components and
 * provides its endpoints, draining and closing.
 *
 * @module
 */

import { type EventLog, SILENT_EVENT_LOG } from "../../base/event_log.ts";
import type { Clock } from "../../base/clock.ts";
import type { InstanceId } from "../../base/identity.ts";
import type { Result } from "../../base/sesame_error.ts";
import type { RandomSource } from "../../base/random_source.ts";
import type { PeerNetwork } from "../../connection/peer_network.ts";
import type { ConfigurationSource } from "../configuration/configuration_source.ts";
import type { HttpEndpoint, MetricsRegistry } from "../http/mod.ts";
import { Ledger } from "../ledger/ledger.ts";
import type { LedgerCommand, LedgerReply, LedgerState } from "../ledger/mod.ts";
import type { ReplicatedLog } from "../replication/replicated_log.ts";
import { BackendClient } from "./backend_client.ts";
import { backendEndpoints } from "./backend_endpoints.ts";
import type { RoutingOptions, ServerAnnouncement } from "./core/mod.ts";
import { requestEndpoint } from "./request_endpoint.ts";
import type { ParsedRequest } from "./read_request.ts";
import { type CallerAnswer, RequestService } from "./request_service.ts";
import { Router } from "./router.ts";
import { RoutingMetrics } from "./routing_metrics.ts";
import { Forwarding } from "./forwarding.ts";
import type { RoutingInstance } from "./routing_instance.ts";
import { AnnouncementRelay } from "./announcement_relay.ts";
import { SlotSharing } from "./slot_sharing.ts";

/** Options of a {@link RequestRouting}. */
export interface RequestRoutingOptions {
  readonly self: RoutingInstance;
  /** Every other instance. */
  readonly peers: readonly RoutingInstance[];
  /** Greater than at any earlier start of this instance. */
  readonly incarnation: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly network: PeerNetwork;
  readonly configuration: ConfigurationSource;
  /** The log of this data centre's ledger, and the state it applies to. */
  readonly ledgerLog: ReplicatedLog<LedgerCommand, LedgerReply>;
  readonly ledgerState: LedgerState;
  readonly metrics: MetricsRegistry;
  readonly eventLog?: EventLog;
  readonly routing?: Partial<RoutingOptions>;
  readonly connectionsPerServer?: number;
  /** Sends requests to backend servers; over HTTP when absent. */
  readonly client?: Pick<BackendClient, "send" | "close">;
  /**
   * The instances of this data centre that accept new work, including this one
   * unless it is leaving; all linked ones when absent.
   */
  readonly usableInstances?: () => readonly InstanceId[];
}

const CONNECTIONS_PER_SERVER = 60;

/** The routing of one instance. */
export class RequestRouting {
  readonly #options: RequestRoutingOptions;
  readonly #eventLog: EventLog;
  readonly #router: Router;
  readonly #ledger: Ledger;
  readonly #service: RequestService;
  readonly #relay: AnnouncementRelay;
  readonly #sharing: SlotSharing;
  readonly #forwarding: Forwarding;

  constructor(options: RequestRoutingOptions) {
    this.#options = options;
    this.#eventLog = options.eventLog ?? SILENT_EVENT_LOG;
    const metrics = new RoutingMetrics({ registry: options.metrics });
    const common = {
      instanceId: options.self.id,
      incarnation: options.incarnation,
      dataCentre: options.self.dataCentre,
      clock: options.clock,
      eventLog: this.#eventLog,
      configuration: options.configuration,
      metrics,
    };
    const peerDataCentres = new Map(
      options.peers.map(({ id, dataCentre }) => [id, dataCentre]),
    );
    this.#router = new Router({
      ...common,
      random: options.random,
      ...(options.routing === undefined ? {} : { routing: options.routing }),
      client: options.client ?? new BackendClient({
        clock: options.clock,
        connectionsPerServer: options.connectionsPerServer ??
          CONNECTIONS_PER_SERVER,
        onUnsolicitedInput: () => metrics.countFault("doubled"),
      }),
    });
    this.#ledger = new Ledger({
      dataCentre: options.self.dataCentre,
      peerDataCentres,
      incarnation: options.incarnation,
      clock: options.clock,
      network: options.network,
      log: options.ledgerLog,
      state: options.ledgerState,
    });
    this.#service = new RequestService({
      ...common,
      router: this.#router,
      ledger: this.#ledger,
    });
    this.#relay = new AnnouncementRelay({
      network: options.network,
      peerDataCentres,
      onAnnounced: (announcement) => this.#applyAnnouncement(announcement),
    });
    const linkedInstances = (): InstanceId[] => [
      options.self.id,
      ...options.network.linkedPeerIds().filter((id) =>
        peerDataCentres.get(id) === options.self.dataCentre
      ),
    ];
    this.#sharing = new SlotSharing({
      selfId: options.self.id,
      usableInstances: options.usableInstances ?? linkedInstances,
      reachableInstances: linkedInstances,
      network: options.network,
      clock: options.clock,
      router: this.#router,
    });
    this.#forwarding = new Forwarding({ ...options, router: this.#router });
    registerGauges(metrics, this.#router, options.ledgerState);
  }

  /** Answers one parsed request. */
  answer(
    request: ParsedRequest,
    options: { signal: AbortSignal },
  ): Promise<Result<CallerAnswer>> {
    return this.#service.answer(request, options);
  }

  /** Applies an announcement and relays it within the data centre. */
  announce(announcement: ServerAnnouncement): void {
    this.#applyAnnouncement(announcement);
    this.#relay.relay(announcement);
  }

  /** The HTTP endpoints for callers, backend servers and operators. */
  get endpoints(): HttpEndpoint[] {
    const { configuration, clock } = this.#options;
    return [
      requestEndpoint({ service: this.#service, configuration }),
      ...backendEndpoints({
        clock,
        configuration,
        router: this.#router,
        onAnnounced: (announcement) => this.announce(announcement),
      }),
    ];
  }

  /**
   * Resolves once every attempt has ended and every outcome is recorded, or at
   * the deadline. Call it after the HTTP server has closed.
   */
  async drain(options: { deadlineMs: number }): Promise<void> {
    const leftMs = options.deadlineMs - this.#options.clock.nowMs();
    const drained = this.#router.drain().then(() => this.#service.drain());
    const deadline = new Promise<void>((resolve) => {
      const timer = this.#options.clock.after(leftMs, resolve);
      void drained.then(() => timer.close());
    });
    await Promise.race([drained, deadline]);
  }

  async close(): Promise<void> {
    this.#forwarding.close();
    this.#sharing.close();
    this.#relay.close();
    this.#ledger.close();
    await this.#router.close();
  }

  #applyAnnouncement(announcement: ServerAnnouncement): void {
    const { serverId, service, leaving } = announcement;
    const known = this.#router.core.services.get(service)?.servers
      .find(serverId);
    if (known === undefined) {
      this.#eventLog.emit("serverAnnounced", { server: serverId, service });
    }
    if (leaving && known?.announcement.leaving !== true) {
      this.#eventLog.emit("serverLeaving", { server: serverId, service });
    }
    this.#router.announce(announcement);
  }
}

function registerGauges(
  metrics: RoutingMetrics,
  router: Router,
  ledgerState: LedgerState,
): void {
  metrics.registerGauge("sesamethread_requests_open", {
    help: "Requests whose final outcome isn't known yet.",
    read: () => router.openCalls,
  });
  metrics.registerGauge("sesamethread_ledger_entries", {
    help: "Non-idempotent requests recorded in the ledger.",
    read: () => ledgerState.size,
  });
  metrics.registerGauge("sesamethread_ledger_bytes", {
    help: "Estimated bytes held by the ledger.",
    read: () => ledgerState.bytes,
  });
}
