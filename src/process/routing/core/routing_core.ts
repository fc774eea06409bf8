/**
 * Routing of one instance as a pure function of events.
 *
 * @module
 */

import type { DataCentreId, ServiceId } from "../../../base/identity.ts";
import type { RandomSource } from "../../../base/random_source.ts";
import type { Service } from "../../../version/document/document.ts";
import type { RoutingDecision } from "./routing_decision.ts";
import type {
  AttemptId,
  CallKey,
  RoutedCall,
  RoutingEvent,
} from "./routing_event.ts";
import {
  DEFAULT_ROUTING_OPTIONS,
  type RoutingOptions,
} from "./routing_options.ts";
import type { ServerAnnouncement } from "./server_announcement.ts";
import { ServiceRouter } from "./service_router.ts";

/** Options of a {@link RoutingCore}. */
export interface RoutingCoreOptions {
  readonly dataCentre: DataCentreId;
  readonly random: RandomSource;
  readonly routing?: Partial<RoutingOptions>;
}

/** Turns routing events into decisions. */
export class RoutingCore {
  readonly #options: RoutingCoreOptions;
  readonly #routing: RoutingOptions;
  readonly #services = new Map<ServiceId, ServiceRouter>();
  readonly #serviceByCall = new Map<CallKey, ServiceRouter>();
  readonly #serviceByAttempt = new Map<AttemptId, ServiceRouter>();
  #lastAttemptId = 0;

  constructor(options: RoutingCoreOptions) {
    this.#options = options;
    this.#routing = { ...DEFAULT_ROUTING_OPTIONS, ...options.routing };
  }

  /** Number of calls of all services that haven't ended. */
  get totalOpenCalls(): number {
    return this.#serviceByCall.size;
  }

  /** Routers of the configured services, and of removed ones with open calls. */
  get services(): ReadonlyMap<ServiceId, ServiceRouter> {
    return this.#services;
  }

  /** Whether the call is queued and no server can have run it. */
  isQueued(key: CallKey): boolean {
    return this.#serviceByCall.get(key)?.isQueued(key) === true;
  }

  /**
   * Whether the call would be refused as `unavailable` or `overloaded`; changes
   * nothing.
   */
  wouldRefuse(call: RoutedCall, atMs: number): boolean {
    return this.#services.get(call.service)?.wouldRefuse(call, atMs) === true;
  }

  handle(event: RoutingEvent): RoutingDecision[] {
    const decisions = this.#handle(event);
    decisions.forEach((decision) => this.#track(decision));
    return decisions;
  }

  #handle(event: RoutingEvent): RoutingDecision[] {
    switch (event.kind) {
      case "configurationChanged":
        return this.#configure(event.services, event.atMs);
      case "serverAnnounced":
        return this.#announce(event.announcement, event.atMs);
      case "callArrived":
        return this.#arrive(event.call, event.atMs);
      case "callAbandoned":
        this.#serviceByCall.get(event.key)?.abandon(event.key);
        this.#serviceByCall.delete(event.key);
        return [];
      case "attemptEnded": {
        const service = this.#serviceByAttempt.get(event.attemptId);
        this.#serviceByAttempt.delete(event.attemptId);
        return service?.endAttempt(event.attemptId, event) ?? [];
      }
      case "forwardEnded":
        return this.#serviceByCall.get(event.key)
          ?.endForward(event.key, event.result) ?? [];
      case "slotsAllotted":
        this.#services.get(event.service)?.servers.allot(event.slots);
        return this.#services.get(event.service)?.dispatch(event.atMs) ?? [];
      case "remoteLoadReported":
        this.#services.get(event.load.service)?.remoteLoads
          .recordReport(event.load, event.atMs);
        return [];
      case "tick":
        return this.#forAllServices((service) => service.tick(event.atMs));
    }
  }

  #forAllServices(
    decide: (service: ServiceRouter) => RoutingDecision[],
  ): RoutingDecision[] {
    return [...this.#services.values()].flatMap(decide);
  }

  #configure(
    services: Readonly<Record<ServiceId, Service>>,
    atMs: number,
  ): RoutingDecision[] {
    for (const [serviceId, service] of Object.entries(services)) {
      const known = this.#services.get(serviceId);
      if (known === undefined) {
        this.#services.set(serviceId, this.#create(serviceId, service, atMs));
      } else {
        known.configure(service);
      }
    }
    for (const [serviceId, router] of this.#services) {
      if (services[serviceId] === undefined && router.openCalls === 0) {
        this.#services.delete(serviceId);
      }
    }
    return this.#forAllServices((service) => service.dispatch(atMs));
  }

  #create(
    serviceId: ServiceId,
    service: Service,
    createdAtMs: number,
  ): ServiceRouter {
    return new ServiceRouter({
      serviceId,
      service,
      createdAtMs,
      selfDataCentre: this.#options.dataCentre,
      random: this.#options.random,
      routing: this.#routing,
      nextAttemptId: () => ++this.#lastAttemptId,
    });
  }

  #announce(
    announcement: ServerAnnouncement,
    atMs: number,
  ): RoutingDecision[] {
    const service = this.#services.get(announcement.service);
    if (announcement.dataCentre !== this.#options.dataCentre) {
      return [];
    }
    service?.servers.applyAnnouncement(announcement, atMs);
    return service?.dispatch(atMs) ?? [];
  }

  #arrive(call: RoutedCall, atMs: number): RoutingDecision[] {
    const service = this.#services.get(call.service);
    if (service === undefined) {
      const detail = `There is no service ${call.service}.`;
      const { key } = call;
      return [{ kind: "endWithError", key, error: "notFound", detail }];
    }
    this.#serviceByCall.set(call.key, service);
    return service.arrive(call, atMs);
  }

  #track(decision: RoutingDecision): void {
    switch (decision.kind) {
      case "sendAttempt": {
        const service = this.#serviceByCall.get(decision.key);
        if (service !== undefined) {
          this.#serviceByAttempt.set(decision.attemptId, service);
        }
        break;
      }
      case "endWithAnswer":
      case "endWithError":
        this.#serviceByCall.delete(decision.key);
        break;
      case "forwardCall":
      case "ejectServer":
      case "readmitServer":
        break;
    }
  }
}
