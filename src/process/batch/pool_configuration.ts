/**
 * The operators' configuration of the batch scheduler: queues, services and
 * client accounts.
 *
 * @module
 */

import type { ClientAccountId, ServiceId } from "../../base/identity.ts";
import type { TaskDemand } from "./job_spec.ts";

/** One queue of jobs. */
export interface QueueConfiguration {
  readonly name: string;
  readonly host: string;
  /** Calls to the host whose path begins with this belong to the queue. */
  readonly prefix: string;
  /** The service whose workers run the queue's tasks. */
  readonly service: ServiceId;
  /** 0 is the most urgent, and may preempt all others. */
  readonly priority: number;
  /** A job fails after so many failed runs of one of its tasks or gangs. */
  readonly attempts: number;
  /** A job's time objective is its critical path times this, ... */
  readonly stretch: number;
  /** ... plus this. */
  readonly objectiveSlackMs: number;
  /** Whether calls need no API key. */
  readonly isPublic: boolean;
  /** The value, 0 or more, of a job of typical size that is on time. */
  readonly onTimeValue?: number;
  /** The share of its value, 0 to 1, that a job has if it is late. */
  readonly lateValueShare?: number;
}

/** One service: a pool of workers. */
export interface ServiceConfiguration {
  readonly name: ServiceId;
  /** Whether its workers refuse tasks that exceed their capacity. */
  readonly guardsCapacity: boolean;
}

/** One client account. */
export interface AccountConfiguration {
  readonly name: ClientAccountId;
  readonly apiKeys: readonly string[];
  /** Accelerators that its jobs of priority 0 can always have together. */
  readonly guaranteedAccelerators: number;
  /**
   * Its share relative to other accounts when demand exceeds capacity, and the
   * jobs a second that it is owed service for. Shares apply only if a version
   * gives some account a weight.
   */
  readonly weight?: number;
  /** What it may have running across all workers; 0 means no limit. */
  readonly runningLimit?: TaskDemand;
}

/** One version of the whole configuration. */
export interface PoolConfiguration {
  readonly version: number;
  readonly queues: readonly QueueConfiguration[];
  readonly services: readonly ServiceConfiguration[];
  readonly accounts: readonly AccountConfiguration[];
}

/** What is wrong with a configuration; undefined if it is valid. */
export function findConfigurationFault(
  configuration: PoolConfiguration,
): string | undefined {
  const services = new Set(configuration.services.map(({ name }) => name));
  const routes = new Set<string>();
  for (const queue of configuration.queues) {
    if (!services.has(queue.service)) {
      return `queue ${queue.name} refers to the unknown service ${queue.service}`;
    }
    const route = `${queue.host} ${queue.prefix}`;
    if (routes.has(route)) {
      return `two queues have the host and path prefix ${route}`;
    }
    routes.add(route);
    const valueFault = findValueFault(queue);
    if (valueFault !== undefined) {
      return valueFault;
    }
  }
  return findSharedKey(configuration);
}

function findValueFault(queue: QueueConfiguration): string | undefined {
  const { onTimeValue = 1, lateValueShare = 0 } = queue;
  if (!(onTimeValue >= 0 && Number.isFinite(onTimeValue))) {
    return `queue ${queue.name} has the value ${onTimeValue}, not 0 or more`;
  }
  return lateValueShare >= 0 && lateValueShare <= 1
    ? undefined
    : `queue ${queue.name} has the late share ${lateValueShare}, not 0 to 1`;
}

function findSharedKey(configuration: PoolConfiguration): string | undefined {
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

/**
 * Finds the queues by host and path, and the accounts by key, of one version.
 * Queues that a version has dropped are found by their names only, for the jobs
 * that were accepted for them.
 */
export class ConfigurationIndex {
  readonly configuration: PoolConfiguration;
  readonly dropped: readonly QueueConfiguration[];
  readonly #queuesByHost = new Map<string, QueueConfiguration[]>();
  readonly #queuesByName = new Map<string, QueueConfiguration>();
  readonly #accountsByKey = new Map<string, AccountConfiguration>();
  readonly #accountsByName = new Map<ClientAccountId, AccountConfiguration>();
  readonly #urgentServices = new Set<ServiceId>();

  constructor(
    configuration: PoolConfiguration,
    dropped: readonly QueueConfiguration[] = [],
  ) {
    this.configuration = configuration;
    this.dropped = dropped;
    dropped.forEach((queue) => this.#queuesByName.set(queue.name, queue));
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
      this.#accountsByName.set(account.name, account);
      account.apiKeys.forEach((key) => this.#accountsByKey.set(key, account));
    }
  }

  /** The queue with the longest prefix that the path begins with. */
  queueAt(host: string, path: string): QueueConfiguration | undefined {
    return this.#queuesByHost.get(host)?.find((queue) =>
      path.startsWith(queue.prefix)
    );
  }

  /** Whether the service has a queue of priority 0. */
  hasUrgentQueue(service: ServiceId): boolean {
    return this.#urgentServices.has(service);
  }

  queueNamed(name: string): QueueConfiguration | undefined {
    return this.#queuesByName.get(name);
  }

  accountNamed(name: ClientAccountId): AccountConfiguration | undefined {
    return this.#accountsByName.get(name);
  }

  accountWithKey(key: string): AccountConfiguration | undefined {
    return this.#accountsByKey.get(key);
  }
}
