/**
 * One instance of the daemon: creates its subsystems, opens them in order of
 * dependency and closes them in reverse order.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import {
  type Clock,
  type EventLog,
  failure,
  type RandomSource,
  type Result,
  SeededRandom,
  type Storage,
  SystemClock,
} from "../../base/mod.ts";
import { splitAddress } from "../../base/split_address.ts";
import type { WsPeerNetwork } from "../../connection/mod.ts";
import { HttpServer, metricsEndpoint } from "../http/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { FileStorage } from "../storage/mod.ts";
import { ConfigurationSubsystem } from "./configuration_subsystem.ts";
import { createDaemonBase, type DaemonBase } from "./daemon_base.ts";
import { DataCentreSubsystem } from "./data_centre_subsystem.ts";
import { groupEndpoints } from "./group_endpoints.ts";
import { instanceEndpoints } from "./instance_endpoints.ts";

/** Options of {@link Daemon.start}. */
export interface DaemonOptions {
  readonly settings: Settings;
  readonly clock?: Clock;
  readonly random?: RandomSource;
}

/** The opened subsystems of a running daemon. */
interface DaemonSubsystems {
  readonly base: DaemonBase;
  readonly storage: Storage | undefined;
  readonly configuration: ConfigurationSubsystem;
  readonly dataCentre: DataCentreSubsystem;
  readonly httpServer: HttpServer;
}

/** One running instance of the daemon. */
export class Daemon {
  #subsystems: DaemonSubsystems;

  private constructor(subsystems: DaemonSubsystems) {
    this.#subsystems = subsystems;
  }

  /** Opens all subsystems and starts to serve HTTP. */
  static async start(options: DaemonOptions): Promise<Result<Daemon>> {
    const clock = options.clock ?? new SystemClock();
    const random = options.random ?? createRandomSource(clock);
    const base = createDaemonBase(options.settings, { clock, random });
    const subsystems = await chainAsync(base, openSubsystems);
    const served = await chainAsync(subsystems, serve);
    return served.map((opened) => new Daemon(opened));
  }

  /** The log of this instance's events. */
  get events(): EventLog {
    return this.#subsystems.base.timeline;
  }

  /**
   * Stops gracefully: leaves the membership and fails the health check, so that
   * no new calls arrive, then waits for calls in progress. Calls still open
   * `limits.stopMs` after the beginning of the stop are aborted.
   */
  async close(signal = "close"): Promise<void> {
    const { base, configuration, dataCentre, httpServer, storage } =
      this.#subsystems;
    base.timeline.emit("processStopping", { signal });
    base.membership.leave();
    const deadlineMs = base.clock.nowMs() + base.settings.limits.stopMs;
    await httpServer.close({ deadlineMs });
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

/** `Either.chain` for an asynchronous step: skips it after a failure. */
async function chainAsync<T, U>(
  result: Result<T>,
  step: (value: T) => Promise<Result<U>>,
): Promise<Result<U>> {
  if (result.isLeft()) {
    return result as unknown as Result<U>;
  }
  return await step(result.unsafeCoerce());
}

async function openSubsystems(
  base: DaemonBase,
): Promise<Result<DaemonSubsystems>> {
  const network = await openNetwork(base.network);
  const storage = await chainAsync(network, () => openStorage(base.settings));
  return await chainAsync(storage, (opened) => openGroups(base, opened));
}

async function openGroups(
  base: DaemonBase,
  storage: Storage | undefined,
): Promise<Result<DaemonSubsystems>> {
  const configuration = await ConfigurationSubsystem.open(base, { storage });
  return await chainAsync(configuration, async (opened) => {
    const dataCentre = await DataCentreSubsystem.open(base, {
      storage,
      configuration: opened.service,
    });
    return dataCentre.map((subsystem) => ({
      base,
      storage,
      configuration: opened,
      dataCentre: subsystem,
      httpServer: createHttpServer(base, {
        configuration: opened,
        dataCentre: subsystem,
      }),
    }));
  });
}

function createHttpServer(
  base: DaemonBase,
  subsystems: {
    configuration: ConfigurationSubsystem;
    dataCentre: DataCentreSubsystem;
  },
): HttpServer {
  const { clock, settings, timeline } = base;
  const { configuration, dataCentre } = subsystems;
  return new HttpServer({
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
    metrics: base.metrics,
    limits: {
      connections: settings.limits.callerConnections,
      bodyReadMs: settings.limits.bodyReadMs,
    },
  });
}

async function serve(
  subsystems: DaemonSubsystems,
): Promise<Result<DaemonSubsystems>> {
  const { base, configuration, httpServer } = subsystems;
  const { httpAddress } = base.settings.instance;
  const listening = await httpServer.listen(splitAddress(httpAddress));
  return listening.chain(() => configuration.bootstrap()).map(() => {
    httpServer.markReady();
    base.timeline.emit("processStarted", { address: httpAddress });
    return subsystems;
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

function createRandomSource(clock: Clock): RandomSource {
  return new SeededRandom({ seed: Math.floor(clock.nowMs()) | 0 });
}
