/**
 * What operators configure of the batch scheduler: queues, services and
 * client accounts.
 *
 * @module
 */

import type { ClientAccountId, ServiceId } from "../../base/identity.ts";

/** One queue of jobs. */
export interface QueueConfiguration {
  readonly name: string;
  readonly host: string;
  /** Calls whose path begins with it belong to the queue. */
  readonly prefix: string;
  /** The service whose workers run the queue's tasks. */
  readonly service: ServiceId;
  /** 0 is the most urgent and may preempt the others. */
  readonly priority: number;
  /** Failed runs of one task, or gang, after which its job has failed. */
  readonly attempts: number;
  /** A job's objective is this many times its chain of work, ... */
  readonly stretch: number;
  /** ... and this much more. */
  readonly objectiveSlackMs: number;
  /** Whether calls need no key. */
  readonly isPublic: boolean;
}

/** One service: a pool of workers. */
export interface ServiceConfiguration {
  readonly name: ServiceId;
  /** Whether its workers refuse what doesn't fit. */
  readonly guardsCapacity: boolean;
}

/** One client account. */
export interface AccountConfiguration {
  readonly name: ClientAccountId;
  readonly apiKeys: readonly string[];
  /** Accelerators that its most urgent jobs can always have. */
  readonly guaranteedAccelerators: number;
}

/** One version of the whole configuration. */
export interface PoolConfiguration {
  readonly version: number;
  readonly queues: readonly QueueConfiguration[];
  readonly services: readonly ServiceConfiguration[];
  readonly accounts: readonly AccountConfiguration[];
}

/** Why a configuration can't be in force, or undefined for a sound one. */
export function findConfigurationFault(
  configuration: PoolConfiguration,
): string | undefined {
  const services = new Set(configuration.services.map(({ name }) => name));
  const places = new Set<string>();
  for (const queue of configuration.queues) {
    if (!services.has(queue.service)) {
      return `queue ${queue.name} names the unknown service ${queue.service}`;
    }
    const place = `${queue.host} ${queue.prefix}`;
    if (places.has(place)) {
      return `two queues at ${place}`;
    }
    places.add(place);
  }
  return findKeyFault(configuration);
}

function findKeyFault(configuration: PoolConfiguration): string | undefined {
  const owners = new Map<string, ClientAccountId>();
  for (const { name, apiKeys } of configuration.accounts) {
    for (const key of apiKeys) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== name) {
        return `client accounts ${owner} and ${name} share a key`;
      }
      owners.set(key, name);
    }
  }
  return undefined;
}

/** Finds queues by host and path, and accounts by key, in one version. */
export class ConfigurationIndex {
  readonly configuration: PoolConfiguration;
  readonly #queuesByHost = new Map<string, QueueConfiguration[]>();
  readonly #queuesByName = new Map<string, QueueConfiguration>();
  readonly #accountsByKey = new Map<string, AccountConfiguration>();
  readonly #urgentServices = new Set<ServiceId>();

  constructor(configuration: PoolConfiguration) {
    this.configuration = configuration;
    for (const queue of configuration.queues) {
      const queues = this.#queuesByHost.get(queue.host) ?? [];
      queues.push(queue);
      this.#queuesByHost.set(queue.host, queues);
      this.#queuesByName.set(queue.name, queue);
      if (queue.priority === 0) {
        this.#urgentServices.add(queue.service);
      }
    }
    for (const queues of this.#queuesByHost.values()) {
      queues.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const account of configuration.accounts) {
      account.apiKeys.forEach((key) => this.#accountsByKey.set(key, account));
    }
  }

  /** The queue with the longest prefix that the path begins with. */
  queueAt(host: string, path: string): QueueConfiguration | undefined {
    return this.#queuesByHost.get(host)?.find((queue) =>
      path.startsWith(queue.prefix)
    );
  }

  /** Whether urgent work may come to the service. */
  hasUrgentQueue(service: ServiceId): boolean {
    return this.#urgentServices.has(service);
  }

  queueNamed(name: string): QueueConfiguration | undefined {
    return this.#queuesByName.get(name);
  }

  accountWithKey(key: string): AccountConfiguration | undefined {
    return this.#accountsByKey.get(key);
  }
}
