/**
 * One entry instance: composes the parts, opens them in order and stops them
 * in the reverse order.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import {
  type Clock,
  failure,
  type RandomSource,
  type Result,
  SeededRandom,
  type Storage,
  SystemClock,
} from "../../base/mod.ts";
import { splitAddress } from "../../base/split_address.ts";
import type { WsPeerNetwork } from "../../connection/mod.ts";
import { HttpFront, metricsEndpoint } from "../http/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { FileStorage } from "../storage/mod.ts";
import { ConfigurationPart } from "./configuration_part.ts";
import { createDaemonBase, type DaemonBase } from "./daemon_base.ts";
import { DataCentrePart } from "./data_centre_part.ts";
import { groupEndpoints } from "./group_endpoints.ts";
import { instanceEndpoints } from "./instance_endpoints.ts";

/** How a {@link Daemon} is started. */
export interface DaemonOptions {
  readonly settings: Settings;
  readonly clock?: Clock;
  readonly random?: RandomSource;
}

/** The opened parts of a running daemon. */
interface DaemonParts {
  readonly base: DaemonBase;
  readonly storage: Storage | undefined;
  readonly configuration: ConfigurationPart;
  readonly dataCentre: DataCentrePart;
  readonly front: HttpFront;
}

/** One running entry instance. */
export class Daemon {
  #parts: DaemonParts;

  private constructor(parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Opens everything and serves. */
  static async start(options: DaemonOptions): Promise<Result<Daemon>> {
    const clock = options.clock ?? new SystemClock();
    const random = options.random ?? randomOfProcess(clock);
    const base = createDaemonBase(options.settings, { clock, random });
    const parts = await thenOpen(base, openParts);
    const served = await thenOpen(parts, serve);
    return served.map((opened) => new Daemon(opened));
  }

  /** A graceful stop: leaves the balancer first and cuts no call off. */
  async close(signal = "close"): Promise<void> {
    const { base, configuration, dataCentre, front, storage } = this.#parts;
    base.timeline.emit("processStopping", { signal });
    base.membership.leave();
    const deadlineMs = base.clock.nowMs() + base.settings.limits.stopMs;
    await front.close({ deadlineMs });
    await dataCentre.drain({ deadlineMs });
    await dataCentre.close();
    await configuration.close();
    base.timelineService.close();
    base.membership.close();
    await base.network.close();
    await storage?.close();
    base.timeline.emit("processStopped");
  }
}

/** Goes on with the next step of opening, unless an earlier one failed. */
async function thenOpen<T, U>(
  result: Result<T>,
  step: (value: T) => Promise<Result<U>>,
): Promise<Result<U>> {
  if (result.isLeft()) {
    return result as unknown as Result<U>;
  }
  return await step(result.unsafeCoerce());
}

async function openParts(base: DaemonBase): Promise<Result<DaemonParts>> {
  const network = await openNetwork(base.network);
  const storage = await thenOpen(network, () => openStorage(base.settings));
  return await thenOpen(storage, (opened) => openGroups(base, opened));
}

async function openGroups(
  base: DaemonBase,
  storage: Storage | undefined,
): Promise<Result<DaemonParts>> {
  const configuration = await ConfigurationPart.open(base, { storage });
  return await thenOpen(configuration, async (opened) => {
    const dataCentre = await DataCentrePart.open(base, {
      storage,
      configuration: opened.service,
    });
    return dataCentre.map((part) => ({
      base,
      storage,
      configuration: opened,
      dataCentre: part,
      front: createFront(base, { configuration: opened, dataCentre: part }),
    }));
  });
}

function createFront(
  base: DaemonBase,
  parts: { configuration: ConfigurationPart; dataCentre: DataCentrePart },
): HttpFront {
  const { clock, settings, timeline } = base;
  const { configuration, dataCentre } = parts;
  return new HttpFront({
    endpoints: [
      ...base.timelineService.endpoints(),
      ...configuration.service.endpoints(),
      ...dataCentre.endpoints(),
      metricsEndpoint(base.metrics),
      ...groupEndpoints({
        clock,
        members: [configuration.member, dataCentre.member],
        configuration: configuration.service,
        instances: [settings.instance, ...settings.peers],
        httpAddressOf: (id) => base.membership.httpAddressOf(id),
      }),
      ...instanceEndpoints(base, {
        groups:
          () => [configuration.member.status(), dataCentre.member.status()],
        configurationVersion: () => configuration.service.current().version,
      }),
    ],
    clock,
    eventLog: timeline,
    limits: {
      connections: settings.limits.callerConnections,
      bodyReadMs: settings.limits.bodyReadMs,
    },
  });
}

async function serve(parts: DaemonParts): Promise<Result<DaemonParts>> {
  const { base, configuration, front } = parts;
  const { httpAddress } = base.settings.instance;
  const listening = await front.listen(splitAddress(httpAddress));
  return listening.chain(() => configuration.bootstrap()).map(() => {
    front.markReady();
    base.timeline.emit("processStarted", { address: httpAddress });
    return parts;
  });
}

async function openNetwork(network: WsPeerNetwork): Promise<Result<void>> {
  try {
    await network.open();
    return Right(undefined);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return failure("unavailable", { detail });
  }
}

async function openStorage(
  settings: Settings,
): Promise<Result<Storage | undefined>> {
  const { folder } = settings.storage;
  if (!settings.instance.hasDisk || folder === undefined) {
    return Right(undefined);
  }
  return await FileStorage.open({ folder });
}

function randomOfProcess(clock: Clock): RandomSource {
  return new SeededRandom({ seed: Math.floor(clock.nowMs()) | 0 });
}
